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
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.process.control.problems import (
    DEFAULT_RETRY_AFTER_SECONDS,
    not_ready,
)
from knapweeddrum.process.control.resource_kind_parameter import resource_kind_parameter
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
        self._stream_limit = limit
        self._open_streams = 0

    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> EventStream:
        """Return the stream."""
        kind = req.parameter("kind")
        if kind:
            resource_kind_parameter(kind)
        after = _resume_offset(req)
        if not self._follower.copy.ready or self._stopping.is_set():
            raise not_ready("no configuration has been read yet, or stopping")
        if self._open_streams >= self._stream_limit:
            raise _too_many_streams(self._stream_limit)
        stream = WatchStream(self._follower, self._stopping, after, kind)
        return EventStream(self._count_stream(stream))

    async def _count_stream(self, stream: WatchStream) -> AsyncGenerator[bytes, None]:
        """Yield the stream's events, counting the stream as open until its end."""
        self._open_streams += 1
        try:
            async for event in stream.events():
                yield event
        finally:
            self._open_streams -= 1


def _resume_offset(req: ApiRequest) -> int:
    """Return the offset to resume from, -1 for the start; raises ProblemError."""
    text = req.header("last-event-id") or req.parameter("after") or "-1"
    return integer_parameter("after", text, -1)


def _too_many_streams(limit: int) -> ProblemError:
    return ProblemError(
        Problem(
            ControlRefusalReason.OVERLOADED,
            f"{limit} watch streams are open already; use another host",
            retry_after=DEFAULT_RETRY_AFTER_SECONDS,
        )
    )
