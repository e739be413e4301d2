"""Load that an endpoint reported with an answer."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests that run and wait at an endpoint, and how many can run at once."""

    running: int
    waiting: int
    slots: int
    work_time: float | None = None
    """How long work takes on the endpoint's machine now, as a multiple of the usual.

    None if the endpoint doesn't report it.
    """
