"""Client of a model engine over HTTP."""

from __future__ import annotations

import contextlib
import urllib.parse
from collections.abc import AsyncIterator

import msgspec

from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.endpoint.cache_event import CacheEvent
from knapweeddrum.endpoint.cache_events_reply import CacheEventsReply
from knapweeddrum.endpoint.exceptions import (
    EndpointConnectError,
    InvalidRequestError,
    StreamCutError,
    WrongStreamError,
)
from knapweeddrum.endpoint.json_exchange import JsonExchange, check_status
from knapweeddrum.endpoint.load_reply import LoadReply
from knapweeddrum.endpoint.load_report import LoadReport
from knapweeddrum.endpoint.model_engine import ModelEngine
from knapweeddrum.endpoint.model_request import ModelRequest
from knapweeddrum.endpoint.part_sequence import PartSequence
from knapweeddrum.endpoint.part_stream import answer_parts
from knapweeddrum.endpoint.run_body import RunBody
from knapweeddrum.endpoint.run_usage import RunUsage
from knapweeddrum.endpoint.usage_reply import UsageReply
from knapweeddrum.http.exceptions import NoReplyError, NotSentError
from knapweeddrum.http.exchange_client import ExchangeClient
from knapweeddrum.http.request import Request
from knapweeddrum.value.documents import MalformedDocumentError, decode_json

STREAM_IDLE_TIMEOUT_SECONDS = 30.0
"""Longest wait for the next bytes of a stream; an idle engine sends comments."""

JSON_HEADERS = (("Content-Type", "application/json"),)


class HttpModelEngine(ModelEngine):
    """Client of the engine at ``http://IP:port``.

    Each started or resumed stream has its own connection, which is never reused.
    """

    def __init__(self, client: ExchangeClient, idle_timeout: float) -> None:
        self._client = client
        self._json = JsonExchange(client)
        self._idle_timeout = idle_timeout

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(
        cls, address: str, idle_timeout: float = STREAM_IDLE_TIMEOUT_SECONDS
    ) -> AsyncIterator[HttpModelEngine]:
        """Yield a client and close its connections afterwards.

        ``idle_timeout`` limits the wait for the next bytes of a stream, in seconds.
        """
        async with ExchangeClient.connect(address) as client:
            yield cls(client, idle_timeout)

    @contextlib.asynccontextmanager
    async def stream(
        self, req: ModelRequest
    ) -> AsyncIterator[AsyncIterator[AnswerPart]]:
        """Start a run and stream its parts.

        Raises InvalidRequestError when the body is not JSON.
        """
        start = Request(
            method="POST",
            path="/v1/runs",
            body=msgspec.json.encode(self._run_body(req)),
            headers=JSON_HEADERS,
        )
        async with self._stream_parts(start, PartSequence(req.run_id)) as parts:
            yield parts

    @contextlib.asynccontextmanager
    async def resume(
        self, run_id: str, start: int
    ) -> AsyncIterator[AsyncIterator[AnswerPart]]:
        """Stream the parts of a known run from part ``start`` on.

        Raises UnknownRunError when the engine doesn't know the run.
        """
        req = Request(
            method="GET", path=f"{self._run_path(run_id)}/events?start={start}"
        )
        async with self._stream_parts(req, PartSequence(run_id, start)) as parts:
            yield parts

    async def cancel(self, run_id: str) -> RunUsage:
        """Stop a run and return what it consumed in all."""
        return await self._request_usage("DELETE", run_id)

    async def usage(self, run_id: str) -> RunUsage:
        """Return what a run consumed so far."""
        return await self._request_usage("GET", run_id)

    async def load(self) -> LoadReport:
        """Return the engine's load report, which lags behind the actual load."""
        req = Request(method="GET", path="/v1/load", reuse=True)
        return (await self._json.call(req, LoadReply)).report()

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return known cache events above sequence ``after``; some may be missing."""
        path = f"/v1/cache-events?after={after}"
        req = Request(method="GET", path=path, reuse=True)
        return (await self._json.call(req, CacheEventsReply)).cache_events()

    def _run_path(self, run_id: str) -> str:
        return f"/v1/runs/{urllib.parse.quote(run_id, safe='')}"

    def _run_body(self, req: ModelRequest) -> RunBody:
        # The body is embedded as it is. Decoding it first rejects text that is not one
        # JSON value and so could change the fields around it.
        try:
            body = decode_json(req.body, msgspec.Raw)
        except MalformedDocumentError as exc:
            raise InvalidRequestError(f"body is not JSON: {exc}") from exc
        return RunBody(
            run_id=req.run_id,
            model=req.model,
            body=body,
            output_limit=req.output_limit,
            priority=int(req.priority),
        )

    async def _request_usage(self, method: str, run_id: str) -> RunUsage:
        req = Request(method=method, path=self._run_path(run_id))
        usage = (await self._json.call(req, UsageReply)).usage()
        if usage.run_id != run_id:
            raise WrongStreamError(f"usage is of run {usage.run_id!r}, not {run_id!r}")
        return usage

    @contextlib.asynccontextmanager
    async def _stream_parts(
        self, req: Request, sequence: PartSequence
    ) -> AsyncIterator[AsyncIterator[AnswerPart]]:
        async with contextlib.AsyncExitStack() as stack:
            try:
                opening = self._client.stream(req, self._idle_timeout)
                reply = await stack.enter_async_context(opening)
            except NotSentError as exc:
                raise EndpointConnectError(str(exc)) from exc
            except NoReplyError as exc:
                raise StreamCutError(str(exc)) from exc
            check_status(reply.head)
            parts = answer_parts(reply, sequence)
            stack.push_async_callback(parts.aclose)
            yield parts
