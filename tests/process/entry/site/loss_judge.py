"""Judges from the sockets of callers and endpoints what hosts have lost."""

from __future__ import annotations

import dataclasses
import enum

from tests.process.entry.site.site_history import (
    EndpointRun,
    HostEvent,
    Outcome,
    RunEnd,
    SentRequest,
    SiteHistory,
)
from tests.process.entry.site.site_shape import SiteShape

TIME_LIMIT_MARGIN_SECONDS = 0.05
MOST_KEPT_LOSSES = 3
CONFIGURATION_RATIO = 3.0
"""Losses beside configurations count if they are so many times as frequent as else."""


class Circumstance(enum.Enum):
    """What went on around a lost request."""

    STOP = "SIGTERM of its host"
    HANGUP = "SIGHUP of its host"
    CONFIGURATION = "configuration"
    KEPT = "kept connection, endpoint at work, no answer"
    STORE = "store disturbed"


class Excuse(enum.Enum):
    """Why the users' rule does not count a request without a whole answer."""

    TIME_LIMIT = "its time limit was reached"
    ENDPOINT = "its endpoint broke off"
    CROSSED = "no endpoint ran it, and it crossed the end of the connection"
    UNFINISHED = "it was still being sent"
    DRAIN_END = "sent early in a drain, endpoint at work near the drain's end"
    DISTURBED = "its host was killed or suspended"


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A request that ended without a whole answer, and nobody had left."""

    request: SentRequest
    excuse: Excuse | None
    circumstances: frozenset[Circumstance]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """All losses of a play."""

    losses: tuple[Loss, ...]
    configuration_ratio: float
    """Share of requests lost beside configurations, by the share lost at others."""

    @property
    def counted(self) -> list[Loss]:
        """Return the losses that nothing excuses."""
        return [loss for loss in self.losses if loss.excuse is None]

    def excused(self, excuse: Excuse) -> list[Loss]:
        return [loss for loss in self.losses if loss.excuse is excuse]

    def of(self, circumstance: Circumstance) -> list[Loss]:
        """Return the losses that count in a circumstance."""
        excuses: set[Excuse | None] = {None}
        if circumstance is Circumstance.KEPT:
            # These are excuses beside planned work only.
            excuses |= {Excuse.DRAIN_END, Excuse.TIME_LIMIT}
        return [
            loss
            for loss in self.losses
            if circumstance in loss.circumstances and loss.excuse in excuses
        ]

    def broken(self) -> list[Circumstance]:
        """Return the circumstances in which the users' rule is broken."""
        at_once = (Circumstance.STOP, Circumstance.HANGUP, Circumstance.STORE)
        broken = [each for each in at_once if self.of(each)]
        if (
            self.of(Circumstance.CONFIGURATION)
            and self.configuration_ratio > CONFIGURATION_RATIO
        ):
            broken.append(Circumstance.CONFIGURATION)
        if len(self.of(Circumstance.KEPT)) > MOST_KEPT_LOSSES:
            broken.append(Circumstance.KEPT)
        return broken


class LossJudge:
    """Judges a history by the times of a site's shape."""

    def __init__(self, shape: SiteShape, history: SiteHistory) -> None:
        self._shape = shape
        self._history = history

    def judge(self) -> Verdict:
        lost = (Outcome.CUT, Outcome.UNANSWERED)
        losses = tuple(
            Loss(req, self._excuse(req), self._circumstances(req))
            for req in self._history.requests
            if req.outcome in lost
        )
        return Verdict(losses, self._configuration_ratio(losses))

    def _excuse(self, req: SentRequest) -> Excuse | None:
        runs = self._runs(req)
        if req.ended_at - req.begun_at >= req.time_limit - TIME_LIMIT_MARGIN_SECONDS:
            return Excuse.TIME_LIMIT
        if runs and runs[-1].end is RunEnd.BROKE_OFF:
            return Excuse.ENDPOINT
        if not runs and req.sent_at is None:
            return Excuse.UNFINISHED
        if not runs and self._ended_within_slack(req):
            return Excuse.CROSSED
        if self._is_disturbed(req):
            return Excuse.DISTURBED
        if runs and self._is_end_of_drain(req):
            return Excuse.DRAIN_END
        return None

    def _ended_within_slack(self, req: SentRequest) -> bool:
        assert req.sent_at is not None
        return req.ended_at - req.sent_at <= self._shape.loss_slack

    def _is_disturbed(self, req: SentRequest) -> bool:
        begun_at = req.begun_at - self._shape.stable_window
        return any(
            event.host == req.host
            and event.begun_at <= req.ended_at
            and begun_at <= event.ended_at
            for event in self._history.disturbances
        )

    def _is_end_of_drain(self, req: SentRequest) -> bool:
        last_sixth = self._shape.grace * 5 / 6
        return any(
            stop.host == req.host
            and req.begun_at <= stop.begun_at + self._shape.late_request
            and stop.begun_at + last_sixth
            <= req.ended_at
            <= stop.begun_at + self._shape.grace + 1.0
            for stop in self._first_stops()
        )

    def _first_stops(self) -> list[HostEvent]:
        """Return the SIGTERMs that began a drain, not those sent again during it."""
        firsts: list[HostEvent] = []
        for stop in sorted(self._history.stops, key=lambda event: event.begun_at):
            last = next((e for e in reversed(firsts) if e.host == stop.host), None)
            if last is None or stop.begun_at > last.ended_at:
                firsts.append(stop)
        return firsts

    def _circumstances(self, req: SentRequest) -> frozenset[Circumstance]:
        shape = self._shape
        found: set[Circumstance] = set()
        for stop in self._history.stops:
            until = stop.begun_at + shape.grace + 1.0
            if (
                stop.host == req.host
                and req.begun_at <= until
                and (stop.begun_at <= req.ended_at)
            ):
                found.add(Circumstance.STOP)
        for hangup in self._history.hangups:
            if (
                hangup.host == req.host
                and req.begun_at <= hangup.begun_at + shape.apply_time
                and hangup.begun_at <= req.ended_at
            ):
                found.add(Circumstance.HANGUP)
        if self._is_beside_configuration(req):
            found.add(Circumstance.CONFIGURATION)
        if req.is_kept and self._runs(req) and req.outcome is Outcome.UNANSWERED:
            found.add(Circumstance.KEPT)
        if any(
            span.overlaps(req.begun_at, req.ended_at)
            for span in self._history.store_troubles
        ):
            found.add(Circumstance.STORE)
        return frozenset(found)

    def _is_beside_configuration(self, req: SentRequest) -> bool:
        """Return whether it was under way while a configuration may come into force."""
        lasts = self._shape.apply_time + 1.0
        return any(
            at <= req.ended_at and req.begun_at <= at + lasts
            for at in self._history.configurations
        )

    def _configuration_ratio(self, losses: tuple[Loss, ...]) -> float:
        beside = [self._is_beside_configuration(r) for r in self._history.requests]
        counted = [loss for loss in losses if loss.excuse is None]
        lost_beside = sum(self._is_beside_configuration(x.request) for x in counted)
        sent_beside = sum(beside)
        lost_else = len(counted) - lost_beside
        sent_else = len(beside) - sent_beside
        if not lost_beside:
            return 0.0
        if not lost_else or not sent_else:
            return float("inf")
        return (lost_beside / sent_beside) / (lost_else / sent_else)

    def _runs(self, req: SentRequest) -> list[EndpointRun]:
        return self._history.runs.get(req.attempt, [])
