"""What routers know of requests that crash endpoints, passed on between hosts."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.core.admission.crash_batch import CrashBatch
from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.message.call.crash_record import CrashRecord


class CrashExchange:
    """Joins the records of this host's routers and of other keepers.

    Joining is idempotent, so records may come twice and by several ways. A keeper
    sends each peer what changed since its last round; what a peer misses reaches it
    from others.
    """

    def __init__(self) -> None:
        self._register = CrashRegister()
        self._sent_version = 0

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Join with records of a router or a peer."""
        self._register.merge(records)

    def changes(self, after: int) -> CrashBatch:
        """Return what changed after a version of this register, for a router.

        A version that this register has not reached is one of an earlier keeper.
        """
        is_foreign = after > self._register.version
        return self._register.changes(0 if is_foreign else after)

    def next_round(self) -> tuple[CrashRecord, ...]:
        """Return what changed since the last round, for the peers of this one."""
        batch = self._register.changes(self._sent_version)
        self._sent_version = batch.version
        return batch.records
