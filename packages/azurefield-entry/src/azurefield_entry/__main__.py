"""Runs the daemon as ``python -m azurefield_entry``."""

from __future__ import annotations

from azurefield_entry.main import main

main()
