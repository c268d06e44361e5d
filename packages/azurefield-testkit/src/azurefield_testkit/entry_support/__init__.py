"""Test support of the entry daemon."""
