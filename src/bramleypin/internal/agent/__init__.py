"""The agent of one endpoint: flows, request handling and admission."""
