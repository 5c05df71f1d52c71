"""Randomized soak: the real programs as processes, with faults from outside.

Run ``python -m tests.soak --help``.
"""
