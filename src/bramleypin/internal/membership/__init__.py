"""Dissemination of the configuration and the VM list to all processes."""
