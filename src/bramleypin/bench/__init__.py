"""Benchmarks that print their results as JSON rows with a baseline."""
