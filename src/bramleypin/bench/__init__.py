"""Benchmarks; each prints JSON rows against a baseline."""
