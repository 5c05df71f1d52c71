"""Tests of bramleypin, grouped in packages by purpose."""

import os

# Logging a line per flow would dominate the run time of the load tests.
os.environ.setdefault("LOGURU_LEVEL", "WARNING")
