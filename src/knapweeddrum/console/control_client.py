"""Client of the resource API."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator, Sequence

import httpcore

from knapweeddrum.console.api_reply import ApiReply
from knapweeddrum.console.exceptions import ConsoleError, ServerUnreachableError
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.console.problem_reply import EXIT_CODE_BY_STATUS, ProblemReply
from knapweeddrum.value.documents import MalformedDocumentError, decode_json

MAX_ROUNDS = 3
"""Attempts at each server for one request."""
ROUND_PAUSE_SECONDS = 0.5
RETRIED_STATUSES = frozenset({503, 504})

_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)

_HeaderPairs = list[tuple[bytes, bytes]]


class ControlClient:
    """Sends requests to one server after another until one gives a final answer.

    Statuses 503 and 504 are not final. Changes and top-ups carry identifiers, and all
    other requests are idempotent, so a request whose response was lost is sent again to
    the next server. ``timeout`` limits each attempt, in seconds.
    """

    def __init__(self, servers: Sequence[str], timeout: float, token: str) -> None:
        self._servers = tuple(server.rstrip("/") for server in servers)
        self._timeout = timeout
        self._token = token

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        change_id: str = "",
        author: str = "",
    ) -> ApiReply:
        """Return a successful response; raises ConsoleError for any other."""
        headers = self._headers()
        if change_id:
            headers.append((b"x-change-id", change_id.encode()))
        if author:
            headers.append((b"x-author", author.encode()))
        reply = self._try_servers(method, path, headers, body)
        if reply.status < 300:
            return reply
        raise _problem_error(reply)

    @contextlib.contextmanager
    def stream(self, path: str, last_event_id: str) -> Iterator[Iterator[bytes]]:
        """Open a stream at the first server that answers and yield its chunks.

        Raises ConsoleError, also while the chunks are read.
        """
        headers = self._headers()
        if last_event_id:
            headers.append((b"last-event-id", last_event_id.encode()))
        with self._open_stream(path, headers) as response:
            if response.status >= 300:
                body = response.read()
                raise _problem_error(ApiReply(response.status, body))
            yield _chunks(response)

    def _try_servers(
        self, method: str, path: str, headers: _HeaderPairs, body: bytes
    ) -> ApiReply:
        """Return the first response that is not retried, or else the last one."""
        failure: Exception | None = None
        last: ApiReply | None = None
        for attempt in range(MAX_ROUNDS):
            if attempt:
                time.sleep(ROUND_PAUSE_SECONDS * attempt)
            for server in self._servers:
                try:
                    reply = self._send(method, server + path, headers, body)
                except _TRANSPORT_ERRORS as exc:
                    failure = exc
                    continue
                if reply.status not in RETRIED_STATUSES:
                    return reply
                last = reply
        if last is not None:
            return last
        raise self._unreachable(failure) from failure

    def _send(
        self, method: str, url: str, headers: _HeaderPairs, body: bytes
    ) -> ApiReply:
        response = httpcore.request(
            method,
            url,
            headers=headers,
            content=body,
            extensions={"timeout": self._timeouts(self._timeout)},
        )
        return ApiReply(response.status, response.content)

    @contextlib.contextmanager
    def _open_stream(
        self, path: str, headers: _HeaderPairs
    ) -> Iterator[httpcore.Response]:
        """Open the stream at the first server that can be reached."""
        failure: Exception | None = None
        for server in self._servers:
            with contextlib.ExitStack() as stack:
                try:
                    response = stack.enter_context(
                        httpcore.stream(
                            "GET",
                            server + path,
                            headers=headers,
                            extensions={
                                "timeout": self._timeouts(STREAM_IDLE_TIMEOUT_SECONDS)
                            },
                        )
                    )
                except _TRANSPORT_ERRORS as exc:
                    failure = exc
                    continue
                yield response
                return
        raise self._unreachable(failure) from failure

    def _headers(self) -> _HeaderPairs:
        if not self._token:
            return []
        return [(b"authorization", f"Bearer {self._token}".encode())]

    def _timeouts(self, read: float) -> dict[str, float]:
        """Return the timeouts in seconds, as httpcore expects them."""
        return {"connect": self._timeout, "read": read, "write": self._timeout}

    def _unreachable(self, failure: Exception | None) -> ServerUnreachableError:
        servers = ", ".join(self._servers)
        return ServerUnreachableError(f"no server answered ({servers}): {failure}")


STREAM_IDLE_TIMEOUT_SECONDS = 30.0
"""Time without data after which a stream is considered broken."""


def _chunks(response: httpcore.Response) -> Iterator[bytes]:
    """Yield the body as it arrives; raises ServerUnreachableError if it breaks off."""
    try:
        yield from response.iter_stream()
    except _TRANSPORT_ERRORS as exc:
        raise ServerUnreachableError(f"the stream broke off: {exc}") from exc


def _problem_error(reply: ApiReply) -> ConsoleError:
    """Return the error for a response that reports a problem."""
    exit_code = EXIT_CODE_BY_STATUS.get(reply.status, ExitCode.FAILED)
    try:
        problem = decode_json(reply.body, ProblemReply)
    except MalformedDocumentError:
        return ConsoleError(
            f"the server answered with status {reply.status}", exit_code
        )
    return ConsoleError(problem.text(), exit_code)
