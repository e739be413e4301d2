"""Report of a connection to an endpoint that was lost within an exchange."""

from __future__ import annotations

import dataclasses
import enum

from knapweeddrum.core.placing.endpoint_state import EndpointState

MAX_WAITING_REPORTS = 256
"""Reports that wait for the crash detector; further ones are dropped."""


class LossCause(enum.StrEnum):
    """Why a connection counts as lost."""

    CONNECTION_LOST = "connection_lost"
    """The endpoint ended it within an exchange."""
    NO_ANSWER = "no_answer"
    """The endpoint is silent on all connections and owes an answer on this one."""


@dataclasses.dataclass(frozen=True, slots=True)
class LostConnection:
    """A connection was lost at ``lost_at``, in monotonic seconds."""

    state: EndpointState
    lost_at: float
    cause: LossCause
