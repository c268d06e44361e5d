"""HTTP server for callers: validation, admission and answers."""
