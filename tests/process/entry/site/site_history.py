"""What was sent, run and done in a play, as seen from outside the hosts."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    OPEN = "open"
    ANSWERED = "answered"
    """A whole answer came, of any status."""
    CUT = "cut"
    """The connection ended within the answer."""
    UNANSWERED = "unanswered"
    """The connection ended before an answer."""
    LEFT = "left"
    """The caller closed its connection."""
    SILENT = "silent"
    """No end came within the caller's time limit and a second more."""


class RunEnd(enum.Enum):
    """How an endpoint's work on a request ended."""

    OPEN = "open"
    WHOLE = "whole"
    PEER_LEFT = "peer left"
    BROKE_OFF = "broke off"
    """By the endpoint's own doing."""


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One attempt of a caller; times in monotonic seconds."""

    attempt: str
    kind: str
    host: str
    time_limit: float
    is_kept: bool
    """Whether an earlier request was answered on the connection."""
    begun_at: float
    sent_at: float | None = None
    """Time at which the last byte was sent, None if it never was."""
    ended_at: float = float("inf")
    outcome: Outcome = Outcome.OPEN
    status: int | None = None


@dataclasses.dataclass(slots=True)
class EndpointRun:
    """The work of an endpoint on an attempt; times in monotonic seconds."""

    attempt: str
    endpoint: str
    arrived_at: float
    ended_at: float = float("inf")
    end: RunEnd = RunEnd.OPEN


@dataclasses.dataclass(slots=True)
class HostEvent:
    """A signal to a host, or a disturbance of it; monotonic seconds.

    A signal ends when the process that got it has ended.
    """

    host: str
    begun_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class Span:
    """A span of time in monotonic seconds."""

    begun_at: float
    ended_at: float = float("inf")

    def overlaps(self, begun_at: float, ended_at: float) -> bool:
        return self.begun_at <= ended_at and begun_at <= self.ended_at


@dataclasses.dataclass(slots=True)
class SiteHistory:
    """Everything that a play has recorded."""

    requests: list[SentRequest] = dataclasses.field(default_factory=list)
    runs: dict[str, list[EndpointRun]] = dataclasses.field(default_factory=dict)
    stops: list[HostEvent] = dataclasses.field(default_factory=list)
    """SIGTERMs."""
    hangups: list[HostEvent] = dataclasses.field(default_factory=list)
    """SIGHUPs."""
    disturbances: list[HostEvent] = dataclasses.field(default_factory=list)
    """Kills and suspensions of hosts, which excuse what is lost at these hosts."""
    configurations: list[float] = dataclasses.field(default_factory=list)
    """Times at which a configuration was written."""
    store_troubles: list[Span] = dataclasses.field(default_factory=list)
    own_ends: list[HostEvent] = dataclasses.field(default_factory=list)
    """Ends of processes that nobody had stopped or killed."""
    kills_at_grace: list[HostEvent] = dataclasses.field(default_factory=list)
    """Hosts that had not ended by themselves when the grace period was over."""

    def record_run(self, run: EndpointRun) -> None:
        self.runs.setdefault(run.attempt, []).append(run)
