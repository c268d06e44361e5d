"""Quotas that hold for all instances together."""
