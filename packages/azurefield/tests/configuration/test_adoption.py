from __future__ import annotations

import pytest
from hypothesis import Phase, find, given, settings
from hypothesis import strategies as st

from azurefield.configuration import (
    AdoptionAction,
    ConfigAdoption,
)
from azurefield_testkit.models.adoption import Fleet
from azurefield_testkit.proof import Guarantee, ProofRecorder, ProofRow

# The search stops at the first history that shows the fault: shrinking it would only cost time.
# It is derandomized, so that each run searches the same histories.
SEARCH = settings(max_examples=3000, deadline=None, derandomize=True, phases=[Phase.generate])


class AdoptsAnyVersion(ConfigAdoption):

    @property
    def version(self) -> int:
        return 0


class NeverWritesBack(ConfigAdoption):

    def on_older_store(
        self, now: float, revision: int | None  # noqa: ARG002
    ) -> list[AdoptionAction]:
        return []


class IgnoresPeers(ConfigAdoption):

    def fetch_from_best_peer(self, now: float) -> list[AdoptionAction]:  # noqa: ARG002
        return []


AdoptionHistory = tuple[tuple[str, int, str], ...]

adoption_histories: st.SearchStrategy[AdoptionHistory] = st.lists(
    st.tuples(
        st.sampled_from(
            ["change", "restore", "down", "up", "restart", "heartbeats"]
            + ["settle"] * 5
            + ["watch", "act"] * 2
        ),
        st.integers(0, 2),
        st.sampled_from(["none"] * 4 + ["lost", "late", "dropped", "unavailable", "corrupt"]),
    ),
    min_size=25,
    max_size=60,
).map(tuple)


def adoption_violations(history: AdoptionHistory, machine_type: type[ConfigAdoption]) -> list[str]:
    fleet = Fleet(machine_type=machine_type)
    fleet.instances = [fleet.new_instance(seed) for seed in range(3)]
    for number, step in enumerate(history):
        fleet.now += 0.25
        fleet.act(step, number)
    stored = 0 if fleet.store.down else fleet.store.version()
    highest = max([stored, *fleet.versions()])
    fleet.drain()
    violations = fleet.violations + fleet.store.violations
    if fleet.versions() != [highest] * 3:
        violations.append(f"instances have {fleet.versions()} instead of {highest}")
    final = fleet.store.version()
    if not fleet.store.down and highest > 0 and final != highest:
        violations.append(f"the store has version {final} instead of {highest}")
    return violations


@pytest.mark.prove
def test_an_accepted_version_never_reverts_and_reaches_every_instance_and_the_store(
    proof: ProofRecorder,
) -> None:
    """Guards against a reverted, lost or corrupted configuration after outages and restores.

    Three instances adopt from the store and from each other while the store fails, corrupts values
    or is restored to an older backup. In the end all have the highest version, and so has the
    store if it answers.
    """
    cases: list[int] = []

    @given(adoption_histories)
    @settings(max_examples=400, deadline=None)
    def holds(history: AdoptionHistory) -> None:
        cases.append(len(history))
        assert adoption_violations(history, ConfigAdoption) == []

    holds()
    proof(ProofRow(guarantee=Guarantee.CONFIGURATION, topic="adoption", cases=len(cases)))


@pytest.mark.prove
@pytest.mark.parametrize(
    "machine_type",
    [AdoptsAnyVersion, NeverWritesBack, IgnoresPeers],
    ids=lambda machine_type: machine_type.__name__,
)
def test_generated_histories_find_the_fault_of_a_weakened_adoption(
    machine_type: type[ConfigAdoption], proof: ProofRecorder
) -> None:
    assert find(
        adoption_histories,
        lambda history: bool(adoption_violations(history, machine_type)),
        settings=SEARCH,
    )
    proof(ProofRow(guarantee=Guarantee.CONFIGURATION, topic="adoption", weakened=1))


def test_a_write_back_restores_the_records_between_the_older_version_and_its_own() -> None:
    """Guards against a gap in the audit trail after the store was restored to a backup.

    A write-back of only the newest record would leave it pointing to a record that is missing.
    """
    fleet = Fleet(machine_type=ConfigAdoption)
    fleet.instances = [fleet.new_instance(0)]
    for number in range(3):
        fleet.act(("change", 0, "none"), number)
        fleet.act(("settle", 0, "none"), number)
    fleet.act(("restore", 2, "none"), 0)
    assert fleet.store.chain() == ["change-0"]
    fleet.drain()
    assert fleet.store.chain() == ["change-2", "change-1", "change-0"]
