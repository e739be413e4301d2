"""Body of an endpoint's load report."""

from __future__ import annotations

from typing import Annotated

import msgspec

from knapweeddrum.endpoint.load_report import LoadReport

Count = Annotated[int, msgspec.Meta(ge=0)]


class LoadReply(msgspec.Struct, frozen=True):
    """JSON of a load report; the fields are those of LoadReport."""

    endpoint: str
    running: Count
    queued: Count
    slots: Count
    leaving: bool
    measured_at: float

    def report(self) -> LoadReport:
        """Return the report."""
        return LoadReport(
            endpoint=self.endpoint,
            running=self.running,
            queued=self.queued,
            slots=self.slots,
            leaving=self.leaving,
            measured_at=self.measured_at,
        )
