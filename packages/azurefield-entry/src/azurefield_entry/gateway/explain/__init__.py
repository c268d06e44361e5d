"""Explains where a request would go now, without sending it."""
