"""Tracks entry instances, leaving backend servers and the shares of connections."""
