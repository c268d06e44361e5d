"""Callers' side of the gateway: the HTTP server, and the requests that it receives."""
