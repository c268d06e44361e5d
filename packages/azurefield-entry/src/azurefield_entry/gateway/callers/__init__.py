"""Callers' side of the gateway: its front, and the answers to failed requests."""
