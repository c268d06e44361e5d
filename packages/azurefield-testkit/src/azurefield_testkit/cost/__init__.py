"""Measures what one entry process costs.

Processor time, memory, bytes of control traffic, and calls to the platform.
"""
