"""Tests by purpose; see CONTRIBUTING.md."""
