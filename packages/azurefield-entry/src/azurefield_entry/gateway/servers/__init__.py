"""Connections of the gateway to backend servers, and what is known of their state."""
