"""Logs, metrics, the decision trace and outcome counts."""
