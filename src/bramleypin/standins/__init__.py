"""Stand-ins for the systems around bramleypin, for tests."""
