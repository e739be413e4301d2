"""What became of one call to the store."""

from __future__ import annotations

import dataclasses

from knapweeddrum.http.exceptions import NotSentError
from knapweeddrum.platform.exceptions import EraDoubtError
from knapweeddrum.platform.store_question import StoreReply


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCall:
    """A call that has ended.

    ``kind`` is ``append``, ``read`` or ``newest``; ``outcome`` the reply's status or
    ``not_sent``, ``no_reply``, ``era_doubt``, ``cut``. ``error`` is empty without one.
    """

    kind: str
    stream: str
    outcome: str
    error: str
    seconds: float
    first_seconds: float | None
    """Time until the answer began, None if none did or the store was to wait."""
    received: int
    """Bytes of the answer that came in."""
    on_new_connection: bool
    asked_twice: bool
    """Whether it was asked once more on a new connection."""


def call_outcome(result: StoreReply | Exception) -> str:
    """Return what became of a call by its answer or error."""
    if isinstance(result, EraDoubtError):
        return "era_doubt"
    if isinstance(result, NotSentError):
        return "not_sent"
    if isinstance(result, Exception):
        return "no_reply"
    return str(result.status) if result.is_whole else "cut"


def call_error(result: StoreReply | Exception) -> str:
    """Return the error of a call, empty without one."""
    if isinstance(result, Exception):
        return str(result)
    return "" if result.is_whole else "the answer was cut"
