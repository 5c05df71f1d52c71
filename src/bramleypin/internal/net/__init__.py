"""Ports, links and the platform client, real implementations."""
