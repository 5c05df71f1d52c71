"""The agent beside an endpoint: flows, requests, admission."""
