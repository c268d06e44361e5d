"""Sends messages to services that may not be registered, as in tests and partial setups."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel


def notify(kernel: Kernel, name: str, message: object) -> bool:
    """Send a message to a service if it is registered.

    :return: whether the service is registered
    """
    mailbox = kernel.mailboxes.get(name)
    if mailbox is None:
        return False
    mailbox.send(message)
    return True


def notify_all(kernel: Kernel, message: object) -> None:
    """Send a message to all registered services."""
    for mailbox in kernel.mailboxes.values():
        mailbox.send(message)
