"""Tests of single components; see CONTRIBUTING.md."""
