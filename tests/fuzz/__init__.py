"""Tests with generated inputs; see CONTRIBUTING.md."""
