"""Formats of the datagrams that processes exchange."""
