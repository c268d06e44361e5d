"""A second listener, for operators and the platform: health, metrics and status."""
