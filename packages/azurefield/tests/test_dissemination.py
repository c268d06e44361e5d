from __future__ import annotations

import pytest

from azurefield.dissemination import DIRECT_MAX, broadcast_groups


@pytest.mark.parametrize("count", [1, 2, DIRECT_MAX + 1, DIRECT_MAX + 2, 195])
def test_each_other_instance_is_in_one_group(count: int) -> None:
    """Guards against instances that miss a message or get it twice."""
    names = [f"i{number}" for number in range(count)]
    groups = broadcast_groups("i0", names)
    members = [name for group in groups for name in group]
    assert sorted(members) == sorted(names[1:])


@pytest.mark.parametrize(("count", "links"), [(8, 7), (DIRECT_MAX + 1, DIRECT_MAX), (195, 14)])
def test_the_links_of_an_instance_stay_few(count: int, links: int) -> None:
    """Guards against a link between every two instances of a large fleet."""
    groups = broadcast_groups("i0", [f"i{number}" for number in range(count)])
    assert len(groups) == links
    assert max(map(len, groups)) <= max(1, links)
