"""Exchange of records about requests that crash endpoints."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.core.admission.crash_batch import CrashBatch
from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.message.call.crash_record import CrashRecord


class CrashExchange:
    """Merges crash records from the routers of this host and from other keepers.

    Merging is idempotent, so a record may arrive several times. In each round, a keeper
    sends its peers the records that changed since the last round; a peer that misses
    them gets them from other keepers.
    """

    def __init__(self) -> None:
        self._register = CrashRegister()
        self._sent_version = 0

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Merge the records of a router or a peer."""
        self._register.merge(records)

    def changes(self, after: int) -> CrashBatch:
        """Return the records that changed after a version, for a router.

        A version above that of this register belongs to an earlier incarnation of the
        keeper; all records are returned for it.
        """
        is_foreign = after > self._register.version
        return self._register.changes(0 if is_foreign else after)

    def next_round(self) -> tuple[CrashRecord, ...]:
        """Return the records that changed since the last round and start a new one."""
        batch = self._register.changes(self._sent_version)
        self._sent_version = batch.version
        return batch.records
