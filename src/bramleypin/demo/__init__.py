"""A small deployment on loopback that shows planned changes."""
