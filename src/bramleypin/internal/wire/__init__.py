"""Formats of the datagrams and control messages between processes."""
