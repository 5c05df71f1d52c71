"""Randomized soak test of the real daemons under injected faults.

Run ``python -m tests.soak --help``.
"""
