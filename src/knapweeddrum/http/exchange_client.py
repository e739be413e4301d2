"""HTTP client for one server."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import anyio
import httpcore

from knapweeddrum.http.exceptions import ExchangeError, NoReplyError, NotSentError
from knapweeddrum.http.reply import Reply
from knapweeddrum.http.request import Request
from knapweeddrum.http.request_head import RequestHead
from knapweeddrum.http.send_trace import SendTrace
from knapweeddrum.http.streamed_reply import StreamedReply
from knapweeddrum.http.transport_errors import TRANSPORT_ERRORS

CONNECT_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 5.0
IDLE_CONNECTION_TIMEOUT_SECONDS = 4.0
MAX_POOLED_CONNECTIONS = 256
"""Each read that waits at the end of a log stream occupies one connection."""

METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


class ExchangeClient:
    """Sends each request at most once and never retries it.

    ``address`` is ``http://IP:port``.
    """

    def __init__(self, address: str, pool: httpcore.AsyncConnectionPool) -> None:
        self.address = address
        self._base_url = httpcore.URL(address)
        self._pool = pool

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(cls, address: str) -> AsyncIterator[ExchangeClient]:
        """Yield a client; leaving the context closes its connections.

        A connection is opened only once a request needs one.
        """
        pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_POOLED_CONNECTIONS,
            keepalive_expiry=IDLE_CONNECTION_TIMEOUT_SECONDS,
            retries=0,
            network_backend=httpcore.AnyIOBackend(),
        )
        try:
            yield cls(address, pool)
        finally:
            with anyio.CancelScope(shield=True):
                await pool.aclose()

    async def exchange(self, req: Request, timeout: float, limit: int) -> Reply:
        """Send a request and return the complete reply.

        ``timeout`` limits the whole exchange, in seconds, ``limit`` the size of the
        reply's body, in bytes. Raises NotSentError and NoReplyError.
        """
        trace = SendTrace()
        try:
            with anyio.fail_after(timeout):
                async with self._send(req, timeout, trace) as response:
                    streamed = StreamedReply(response)
                    return Reply(streamed.head, await streamed.read(limit))
        except TRANSPORT_ERRORS as exc:
            raise self._to_exchange_error(exc, trace) from exc

    @contextlib.asynccontextmanager
    async def stream(
        self, req: Request, read_timeout: float
    ) -> AsyncIterator[StreamedReply]:
        """Send a request and yield its reply, whose body is read chunk by chunk.

        ``read_timeout`` limits the wait for the head and for each chunk, in seconds.
        Raises NotSentError and NoReplyError. Leaving the context early closes the
        connection.
        """
        trace = SendTrace()
        async with contextlib.AsyncExitStack() as stack:
            sending = self._send(req, read_timeout, trace)
            try:
                response = await stack.enter_async_context(sending)
            except TRANSPORT_ERRORS as exc:
                raise self._to_exchange_error(exc, trace) from exc
            yield StreamedReply(response)

    @contextlib.asynccontextmanager
    async def _send(
        self, req: Request, read_timeout: float, trace: SendTrace
    ) -> AsyncIterator[httpcore.Response]:
        async with self._transport(reuse=req.reuse) as transport:
            head = self._encode(req)
            sending = transport.stream(
                head.method,
                self._url(head.target),
                headers=head.headers,
                content=self._content(req),
                extensions={
                    "timeout": {
                        "connect": CONNECT_TIMEOUT_SECONDS,
                        "pool": CONNECT_TIMEOUT_SECONDS,
                        "write": WRITE_TIMEOUT_SECONDS,
                        "read": read_timeout,
                    },
                    "trace": trace,
                },
            )
            async with sending as response:
                yield response

    @contextlib.asynccontextmanager
    async def _transport(
        self, *, reuse: bool
    ) -> AsyncIterator[httpcore.AsyncConnectionPool | httpcore.AsyncHTTPConnection]:
        if reuse:
            yield self._pool
            return
        connection = httpcore.AsyncHTTPConnection(
            self._base_url.origin, retries=0, network_backend=httpcore.AnyIOBackend()
        )
        try:
            yield connection
        finally:
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    def _encode(self, req: Request) -> RequestHead:
        try:
            return RequestHead.encode(req)
        except ValueError as exc:
            raise NotSentError(f"request can't be encoded: {exc}") from exc

    def _url(self, target: bytes) -> httpcore.URL:
        return httpcore.URL(
            scheme=self._base_url.scheme,
            host=self._base_url.host,
            port=self._base_url.port,
            target=target,
        )

    def _content(self, req: Request) -> bytes | None:
        if req.body or req.method in METHODS_WITH_BODY:
            return req.body
        return None

    def _to_exchange_error(self, exc: Exception, trace: SendTrace) -> ExchangeError:
        # httpcore validates the head after the trace event but before writing a byte.
        unsent = not trace.sent or isinstance(exc, httpcore.LocalProtocolError)
        kind = NotSentError if unsent else NoReplyError
        return kind(f"{self.address}: {exc!r}")
