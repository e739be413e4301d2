"""Interface of a model engine."""

from __future__ import annotations

import abc
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.endpoint.cache_event import CacheEvent
from knapweeddrum.endpoint.load_report import LoadReport
from knapweeddrum.endpoint.model_request import ModelRequest
from knapweeddrum.endpoint.run_usage import RunUsage


class ModelEngine(abc.ABC):
    """Client of an engine with continuous batching and streamed answers.

    Leaving the context of a stream only closes its connection: the run goes on at the
    engine until it ends or is cancelled.
    """

    @abc.abstractmethod
    def stream(
        self, req: ModelRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[AnswerPart]]:
        """Start a run and stream its parts.

        Raises EndpointConnectError, EndpointBusyError or InvalidRequestError if it did
        not run, and StreamCutError or WrongStreamError if it may have run.
        """

    @abc.abstractmethod
    def resume(
        self, run_id: str, start: int
    ) -> AbstractAsyncContextManager[AsyncIterator[AnswerPart]]:
        """Stream the parts of a known run from part ``start`` on.

        Raises UnknownRunError when the engine doesn't know the run.
        """

    @abc.abstractmethod
    async def cancel(self, run_id: str) -> RunUsage:
        """Stop a run and return what it consumed in all; repeating it is harmless."""

    @abc.abstractmethod
    async def usage(self, run_id: str) -> RunUsage:
        """Return what a run consumed so far."""

    @abc.abstractmethod
    async def load(self) -> LoadReport:
        """Return the engine's load report, which lags behind the actual load."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the known cache events above sequence ``after``.

        Events become known late, and some are lost, which leaves gaps.
        """
