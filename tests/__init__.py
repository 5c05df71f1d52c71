"""Tests of bramleypin, in folders by purpose."""

import os

# Lines for each flow would take most of the time of the load tests.
os.environ.setdefault("LOGURU_LEVEL", "WARNING")
