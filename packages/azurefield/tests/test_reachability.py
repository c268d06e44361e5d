from __future__ import annotations

from azurefield.reachability import ServerContacts


def test_silence_is_counted_from_the_last_sign_of_a_server() -> None:
    """Guards against a slow server that is taken for a silent one."""
    contacts = ServerContacts()
    assert contacts.silent_s(5.0, "a", since=1.0) == 4.0
    contacts.on_answered(3.0, "a")
    assert contacts.silent_s(5.0, "a", since=1.0) == 2.0
    contacts.on_opened(4.5, "a")
    assert contacts.silent_s(5.0, "a", since=1.0) == 0.5
    assert contacts.silent_s(5.0, "a", since=5.0) == 0.0


def test_an_answer_on_an_open_connection_does_not_show_that_new_ones_are_accepted() -> None:
    """Guards against a partition in which old connections live on."""
    contacts = ServerContacts()
    contacts.on_answered(3.0, "a")
    assert not contacts.opened_since(2.0, without=frozenset())
    contacts.on_opened(3.0, "a")
    assert contacts.opened_since(2.0, without=frozenset())
    assert not contacts.opened_since(2.0, without=frozenset({"a"}))
    contacts.forget("a")
    assert not contacts.opened_since(2.0, without=frozenset())
