"""Streaming of a run with resumption at its engine."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.endpoint.exceptions import (
    EndpointConnectError,
    EndpointError,
    UnknownRunError,
)
from knapweeddrum.endpoint.model_request import ModelRequest
from knapweeddrum.process.router.attempt_outcome import retry_reason
from knapweeddrum.process.router.engine_attempt import NOT_RUN_ERRORS, EngineAttempt
from knapweeddrum.process.router.run_services import RunServices
from knapweeddrum.value.retry_reason import RetryReason

RESUME_LIMIT = 3
"""Maximum of attempts to resume the stream of one run."""

RESUME_DELAY_SECONDS = 0.05
"""Delay before the first attempt to resume; doubles with each attempt."""


class ResumingStream:
    """Starts a run and resumes its stream from the next part on when it is cut."""

    def __init__(
        self, services: RunServices, publish: Callable[[AnswerPart], None]
    ) -> None:
        self._metrics = services.context.metrics
        self._crashes = services.crashes
        self._publish = publish

    async def start(self, attempt: EngineAttempt, req: ModelRequest) -> None:
        """Send a request and publish all parts; raises EndpointError."""
        try:
            await attempt.start(req, self._publish)
        except NOT_RUN_ERRORS:
            raise
        except EndpointError as exc:
            self._metrics.count_retry(retry_reason(exc))
            await self._resume(attempt)

    async def _resume(self, attempt: EngineAttempt) -> None:
        """Resume a cut stream from the next part on; raises EndpointError."""
        delay = RESUME_DELAY_SECONDS
        for remaining in reversed(range(RESUME_LIMIT)):
            await anyio.sleep(delay)
            delay *= 2
            self._metrics.count_retry(RetryReason.STREAM_RESUMED)
            try:
                return await attempt.resume(self._publish)
            except (UnknownRunError, EndpointConnectError) as exc:
                self._crashes.record_crash(attempt.endpoint)
                if not remaining or isinstance(exc, UnknownRunError):
                    raise
            except EndpointError:
                if not remaining:
                    raise
        return None
