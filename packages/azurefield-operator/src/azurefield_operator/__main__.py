"""Runs ``azurefieldctl`` as a module."""

from azurefield_operator.main import main

main()
