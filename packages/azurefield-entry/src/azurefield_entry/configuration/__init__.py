"""Adopts configurations from the store or from a peer; the version in force never decreases."""
