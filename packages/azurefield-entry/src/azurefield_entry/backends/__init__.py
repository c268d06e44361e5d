"""Connections to backend servers: leaf calls, connection ceilings and status probes."""
