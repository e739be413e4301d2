"""Handler of watch streams."""

from __future__ import annotations

from collections.abc import AsyncGenerator

import anyio

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.event_stream import EventStream
from knapweeddrum.process.control.exceptions import ProblemError
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.integer_parameter import integer_parameter
from knapweeddrum.process.control.path_kind import path_kind
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.process.control.problems import (
    RETRY_AFTER_SECONDS,
    not_ready,
)
from knapweeddrum.process.control.watch_stream import WatchStream
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason


class WatchHandler(Handler):
    """Streams the changes after an offset, for at most ``limit`` clients at a time.

    The offset is that of the header Last-Event-ID or else of the parameter ``after``;
    the parameter ``kind`` selects the resources of one kind.
    """

    def __init__(
        self, follower: ConfigFollower, stopping: anyio.Event, limit: int
    ) -> None:
        self._follower = follower
        self._stopping = stopping
        self._limit = limit
        self._open = 0

    async def handle(self, req: ApiRequest, names: tuple[str, ...]) -> EventStream:
        """Return the stream."""
        kind = req.parameter("kind")
        if kind:
            path_kind(kind)
        after = _after(req)
        if not self._follower.copy.ready or self._stopping.is_set():
            raise not_ready("no configuration has been read yet, or stopping")
        if self._open >= self._limit:
            raise _too_many(self._limit)
        stream = WatchStream(self._follower, self._stopping, after, kind)
        return EventStream(self._counted(stream))

    async def _counted(self, stream: WatchStream) -> AsyncGenerator[bytes, None]:
        """Yield the stream's events, counting the stream as open until its end."""
        self._open += 1
        try:
            async for event in stream.events():
                yield event
        finally:
            self._open -= 1


def _after(req: ApiRequest) -> int:
    """Return the offset to resume from, -1 for the start; raises ProblemError."""
    text = req.header("last-event-id") or req.parameter("after") or "-1"
    return integer_parameter("after", text, -1)


def _too_many(limit: int) -> ProblemError:
    return ProblemError(
        Problem(
            ControlRefusalReason.OVERLOADED,
            f"{limit} watch streams are open already; use another host",
            retry_after=RETRY_AFTER_SECONDS,
        )
    )
