from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.core.config.config_ledger import ConfigLedger
from knapweeddrum.message.call.change_verdict import ChangeVerdict
from knapweeddrum.message.fact.config_change import ConfigChange
from tests.core.records import RecordWriter
from tests.core.violation_search import assert_violation_found


def change(change_id: str, base: int, deleted: bool = False) -> ConfigChange:
    return ConfigChange(change_id, "route", "n", base, "operator", b"{}", deleted)


def test_first_of_two_concurrent_changes_wins():
    """The second change conflicts with the first; a repeated one keeps its verdict."""
    ledger = ConfigLedger()
    log = RecordWriter(ledger)
    log.append(change("a", 0))
    log.append(change("b", 0))
    log.append(change("a", 0))
    winner, loser = ledger.change("a"), ledger.change("b")
    assert (winner.verdict, winner.version) == (ChangeVerdict.ACCEPTED, 1)
    assert (loser.verdict, loser.version) == (ChangeVerdict.CONFLICT, 1)
    assert ledger.resource("route", "n").version == 1


def test_deleted_resource_keeps_its_version():
    """A resource created again continues from the version of its tombstone."""
    ledger = ConfigLedger()
    log = RecordWriter(ledger)
    log.append(change("a", 0), change("b", 1, deleted=True), change("c", 0))
    assert ledger.resource("route", "n").version == 3


@dataclasses.dataclass(frozen=True)
class Step:
    """A change, maybe based on a stale version, and whether the watch reads next."""

    name: str
    is_stale: bool
    deleted: bool
    is_read_next: bool


STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(["n1", "n2"]),
        st.sampled_from([False, False, True]),
        st.booleans(),
        st.booleans(),
    ),
    max_size=30,
)


def apply_step(ledger: ConfigLedger, log: RecordWriter, step: Step) -> None:
    known = ledger.resource("route", step.name)
    base = 0 if known is None or known.deleted else known.version
    log.append(
        ConfigChange(
            change_id=f"change{len(log.records)}",
            resource_kind="route",
            name=step.name,
            base_version=base - 1 if step.is_stale else base,
            author="operator",
            deleted=step.deleted,
        )
    )


def check_watch(ledger_class: type[ConfigLedger]) -> None:
    """Check that a watch sees each version once, in order, and ends at the snapshot."""

    @given(STEPS)
    def search(steps):
        ledger = ledger_class(history_limit=4)
        log = RecordWriter(ledger)
        seen: dict[str, int] = {}
        offset = -1
        for step in steps:
            apply_step(ledger, log, step)
            if not step.is_read_next:
                continue
            found = ledger.changes_after(offset)
            for record in ledger.snapshot() if found is None else found:
                version = seen.get(record.name, 0)
                assert record.version == version + 1 or found is None
                assert record.version >= version
                seen[record.name] = record.version
            offset = log.replay.position
            assert seen == {r.name: r.version for r in ledger.snapshot()}

    search()


def test_watch_sees_each_change_once():
    """A watch sees each version once, in order, and never an older one again."""
    check_watch(ConfigLedger)


class LedgerWithoutTombstones(ConfigLedger):
    """A faulty ledger that starts again from version 1 after a deletion."""

    def _apply_change(self, fact, offset, time):
        known = self._resources.get((fact.resource_kind, fact.name))
        if known and known.deleted:
            del self._resources[fact.resource_kind, fact.name]
        return super()._apply_change(fact, offset, time)


def test_search_finds_decreasing_versions_without_tombstones():
    """The search finds a resource whose version decreases."""
    assert_violation_found(lambda: check_watch(LedgerWithoutTombstones))
