from __future__ import annotations

import pytest

from azurefield.workspaces import (
    KeyDigest,
    LeftOutEntries,
    RequestQuota,
    WorkspaceEntry,
    WorkspaceKeys,
)

Keys = tuple[str, ...]
SECRET = "Kx7qPz2mWv9t"


@pytest.mark.parametrize(
    ("entries", "expected", "left_out"),
    [
        pytest.param([("a", ("k1", "k2"))], {"k1": "a", "k2": "a"}, {}, id="two-keys"),
        pytest.param([("a", ("k1", "k1"))], {"k1": "a"}, {}, id="key-twice-in-one"),
        pytest.param(
            [("a", ("k1", "k2")), ("b", ("k1", "k3"))],
            {"k1": None, "k2": "a", "k3": "b"},
            {"shared_keys": 1},
            id="key-at-two",
        ),
        pytest.param([("a", ("",))], {"": None}, {"unusable_keys": 1}, id="empty-key"),
        pytest.param([("a", ("k 1",))], {"k 1": "a", "k1": None}, {}, id="space-inside"),
        pytest.param(
            [("a", (" k1", "k1 ", "k\t1", "k\r\n1", "k\u00e9"))],
            dict.fromkeys((" k1", "k1 ", "k1", "k\t1", "k\r\n1", "k\u00e9")),
            {"unusable_keys": 5},
            id="keys-that-no-header-carries",
        ),
        pytest.param(
            [("", ("k1",)), ("a\r\nX: y", ("k2",)), ("\u00e9", ("k3",)), ("a" * 257, ("k4",))],
            dict.fromkeys(("k1", "k2", "k3", "k4")),
            {"workspaces": 4},
            id="names-that-no-header-carries",
        ),
        pytest.param(
            [("a", ("k1",)), ("a", ("k2",)), ("b", ("k3",))],
            {"k1": None, "k2": None, "k3": "b"},
            {"workspaces": 2},
            id="name-twice",
        ),
        pytest.param(
            [("", ("k1",)), ("b", ("k1",))],
            {"k1": None},
            {"workspaces": 1, "shared_keys": 1},
            id="key-shared-with-an-unusable-workspace",
        ),
        pytest.param([], {"k1": None, "\ud800": None}, {}, id="no-workspace"),
    ],
)
def test_what_is_unusable_or_ambiguous_gives_no_access(
    entries: list[tuple[str, Keys]], expected: dict[str, str | None], left_out: dict[str, int]
) -> None:
    """Guards against a key that opens no workspace, or one that it does not belong to."""
    workspaces = WorkspaceKeys.build(
        WorkspaceEntry(name=name, keys=tuple(KeyDigest.of(key) for key in keys))
        for name, keys in entries
    )
    found = {key: workspaces.find(key) for key in expected}
    assert {key: one and one.name for key, one in found.items()} == expected
    assert workspaces.left_out == LeftOutEntries(**left_out)
    assert bool(workspaces.left_out) is bool(left_out)


def test_no_text_form_shows_a_key() -> None:
    """Guards against a key in a log line or an error that holds the text of an object."""
    entry = WorkspaceEntry(name="a", keys=(KeyDigest.of(SECRET),))
    workspaces = WorkspaceKeys.build([entry, WorkspaceEntry(name="b", keys=entry.keys)])
    text = f"{entry!r} {entry} {workspaces!r} {workspaces} {WorkspaceKeys.build([entry])!r}"
    assert not any(SECRET[at : at + 4] in text for at in range(len(SECRET) - 3))


@pytest.mark.parametrize(
    ("rate_per_s", "burst"), [(-1.0, 0.0), (1.0, -1.0), (float("nan"), 0.0), (1.0, float("inf"))]
)
def test_a_quota_of_impossible_numbers_is_an_error(rate_per_s: float, burst: float) -> None:
    """Guards against a quota that never refuses because its numbers don't compare."""
    with pytest.raises(ValueError, match="finite"):
        RequestQuota.build(rate_per_s, burst)
