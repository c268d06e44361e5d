"""Connections of callers, within limits for all of them together."""
