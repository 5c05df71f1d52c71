"""Tests of behaviour under failures; see CONTRIBUTING.md."""
