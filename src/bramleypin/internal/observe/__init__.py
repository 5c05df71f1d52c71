"""Logs, metrics, trace ring and outcome windows."""
