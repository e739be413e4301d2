"""Ledger of the configuration stream."""

from __future__ import annotations

import collections

from knapweeddrum.core.config.config_state import ChangeState, ConfigState
from knapweeddrum.core.replay.expiry import pop_expired
from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.core.replay.ledger_outcome import LedgerOutcome
from knapweeddrum.core.replay.state_codec import decode_state, encode_state
from knapweeddrum.message.call.change_reply import ChangeReply
from knapweeddrum.message.call.change_verdict import ChangeVerdict
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.config_change import ConfigChange

VERDICT_RETENTION_SECONDS = 30 * 24 * 3600.0
"""Seconds of log time for which the verdict on a change is kept."""

MAX_HISTORY_CHANGES = 1024
"""Newest accepted changes that are kept for watches to resume from."""

_OUTCOMES = {
    ChangeVerdict.ACCEPTED: FactOutcome.ACCEPTED,
    ChangeVerdict.CONFLICT: FactOutcome.CONFLICT,
}


class ConfigLedger(Ledger):
    """Versioned resources; the first of two concurrent changes wins.

    A change names the version that it is based on and conflicts if the resource has
    another one by then. A deleted resource leaves a tombstone, so that its version
    never decreases when it is created again.
    """

    def __init__(
        self,
        verdict_seconds: float = VERDICT_RETENTION_SECONDS,
        history_limit: int = MAX_HISTORY_CHANGES,
    ) -> None:
        """Keep verdicts for ``verdict_seconds``, and ``history_limit`` changes."""
        self._verdict_seconds = verdict_seconds
        self._history_limit = history_limit
        self._resources: dict[tuple[str, str], ResourceRecord] = {}
        self._changes: dict[str, ChangeState] = {}
        self._history: collections.deque[ResourceRecord] = collections.deque()
        self._history_start = -1

    def apply(self, fact: AnyFact, offset: int, time: float) -> LedgerOutcome | None:
        """Apply a fact and return the verdict; None for facts of other ledgers."""
        if not isinstance(fact, ConfigChange):
            return None
        change = self._changes.get(fact.change_id)
        if change is None:
            change = self._apply_change(fact, offset, time)
            self._changes[fact.change_id] = change
        return LedgerOutcome(
            _OUTCOMES[change.verdict], version=change.version, offset=change.offset
        )

    def change(self, change_id: str) -> ChangeReply | None:
        """Return the verdict on a change; None when it is not known."""
        change = self._changes.get(change_id)
        if change is None:
            return None
        return ChangeReply(
            verdict=change.verdict, version=change.version, offset=change.offset
        )

    def resource(self, resource_kind: str, name: str) -> ResourceRecord | None:
        """Return a resource or its tombstone; None when it never existed."""
        return self._resources.get((resource_kind, name))

    def snapshot(self) -> tuple[ResourceRecord, ...]:
        """Return all resources and tombstones, sorted by kind and name."""
        return tuple(record for _, record in sorted(self._resources.items()))

    def changes_after(self, offset: int) -> tuple[ResourceRecord, ...] | None:
        """Return the accepted changes after a log offset, in order.

        None if the history doesn't reach back that far; the reader then needs a
        snapshot.
        """
        if offset < self._history_start:
            return None
        return tuple(record for record in self._history if record.offset > offset)

    def prune(self, time: float) -> None:
        """Remove the verdicts that are too old at log time ``time``, in seconds."""
        pop_expired(self._changes, _change_time, time - self._verdict_seconds)

    def dump(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""
        changes = sorted(self._changes.values(), key=_change_order)
        return encode_state(
            ConfigState(
                resources=self.snapshot(),
                changes=tuple(changes),
                history=tuple(self._history),
                history_start=self._history_start,
            )
        )

    def load(self, state: bytes) -> None:
        """Replace the state with an encoded one.

        Raises StateError when the encoded state can't be decoded.
        """
        decoded = decode_state(state, ConfigState)
        self._resources = {(r.resource_kind, r.name): r for r in decoded.resources}
        self._changes = {change.change_id: change for change in decoded.changes}
        self._history = collections.deque(decoded.history)
        self._history_start = decoded.history_start

    def _apply_change(
        self, fact: ConfigChange, offset: int, time: float
    ) -> ChangeState:
        known = self._resources.get((fact.resource_kind, fact.name))
        if not _is_applicable(fact, known):
            return ChangeState(
                time=time,
                change_id=fact.change_id,
                verdict=ChangeVerdict.CONFLICT,
                version=known.version if known else 0,
                offset=known.offset if known else -1,
            )
        record = ResourceRecord(
            resource_kind=fact.resource_kind,
            name=fact.name,
            version=known.version + 1 if known else 1,
            offset=offset,
            body=b"" if fact.deleted else fact.body,
            deleted=fact.deleted,
        )
        self._resources[fact.resource_kind, fact.name] = record
        self._append_to_history(record)
        return ChangeState(
            time=time,
            change_id=fact.change_id,
            verdict=ChangeVerdict.ACCEPTED,
            version=record.version,
            offset=offset,
        )

    def _append_to_history(self, record: ResourceRecord) -> None:
        self._history.append(record)
        while len(self._history) > self._history_limit:
            self._history_start = self._history.popleft().offset


def _is_applicable(fact: ConfigChange, known: ResourceRecord | None) -> bool:
    if known is None:
        return fact.base_version == 0 and not fact.deleted
    if known.deleted:
        return fact.base_version in {0, known.version} and not fact.deleted
    return fact.base_version == known.version


def _change_time(change: ChangeState) -> float:
    return change.time


def _change_order(change: ChangeState) -> tuple[float, str]:
    return (change.time, change.change_id)
