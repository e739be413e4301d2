"""A read of a stream of the store after which its records are known."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRead:
    """All records before ``next_offset`` are known.

    The store answered at some time between ``asked_at`` and ``received_at``, in
    monotonic seconds.
    """

    asked_at: float
    received_at: float
    next_offset: int
