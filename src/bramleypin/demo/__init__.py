"""A demonstration: planned changes to a small deployment on loopback."""
