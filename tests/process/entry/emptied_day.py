"""Hosts before a data centre that is emptied and taken back, in virtual time."""

from __future__ import annotations

import anyio

from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.streams import EMPTIED_KEY_PREFIX
from knapweeddrum.process.entry.emptied_records import EmptiedRecords
from tests.process.entry.cold_day import ColdDay
from tests.process.entry.limit_day import LimitHost, LimitPlan

KEY = f"{EMPTIED_KEY_PREFIX}a"
EMPTIED_AT = 10.0
EMPTIED_WITHIN = 5.0
"""Time after the record was written from which on nothing may arrive."""
TAKEN_BACK_AT = 18.1
"""Shortly after the endpoints wrote entries that call them warm; the next ones, written
at 19.2, call them cold."""


class EmptiedDay(ColdDay):
    """Empties the data centre of all endpoints and takes it back."""

    def __init__(self, plan: LimitPlan, seed: int) -> None:
        super().__init__(plan, seed)
        self.cold_from = TAKEN_BACK_AT

    @property
    def arrivals_while_emptied(self) -> int:
        """Return the arrivals at all endpoints while none may be."""
        begun = EMPTIED_AT + EMPTIED_WITHIN
        return sum(
            begun <= at < TAKEN_BACK_AT
            for times in self.arrivals.values()
            for at in times
        )

    def read_store(self, host: LimitHost) -> None:
        super().read_store(host)
        now = anyio.current_time()
        written = []
        if now >= EMPTIED_AT:
            written.append(KeyedRecord(KEY, b"{}", 5))
        if now >= TAKEN_BACK_AT:
            written.append(KeyedRecord(KEY, None, 6))
        EmptiedRecords(host.ctx).apply_records(written, now)
