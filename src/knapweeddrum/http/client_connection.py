"""A client connection that carries one HTTP exchange at a time.

Built on h11 and anyio instead of httpcore, because httpcore closes a connection whose
reply arrives while the request body is still being written, and exposes neither bytes
that follow a reply nor how a connection ended.
"""

from __future__ import annotations

import contextlib
import select
import time
from collections.abc import AsyncIterator, Callable

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute

from knapweeddrum.http.exceptions import (
    EndlessReplyError,
    MalformedReplyError,
    NoReplyError,
    NotSentError,
    PathCutError,
    PeerRefusedError,
)
from knapweeddrum.http.header_list import Header, HeaderList
from knapweeddrum.http.raw_reply_head import RawReplyHead, raw_reply_head
from knapweeddrum.http.sent_data import is_sent_data_taken
from knapweeddrum.http.socket_options import (
    limit_buffers,
    limit_silence,
    reset_on_close,
)
from knapweeddrum.http.socket_writing import write_slices
from knapweeddrum.http.tunnel_stream import TunnelCutError, TunnelStream
from knapweeddrum.value.whole_number import parse_whole_number

MAX_RECEIVE_BYTES = 65_536
MAX_INLINE_REQUEST_BYTES = 61_440
"""Largest request that is written before, not while, the reply is read."""
MAX_REPLY_HEAD_BYTES = 65_536
MAX_HEAD_SECONDS = 2.0
"""Time from the first byte of a head to its last."""
MAX_INTERIM_HEADS = 8
"""Heads with a status below 200 that may precede that of a reply."""
MAX_SKIPPED_REPLY_BYTES = 1024 * 1024
MAX_SKIPPED_REPLY_SECONDS = 1.0
HEAD_TOO_LARGE_STATUS = 431
"""Status by which h11 marks a line or head that is too long."""
MAX_PORT = 65_535
MAX_SHOWN_CHARS = 64
"""Characters of an invalid address that an error message shows at most."""
DEFAULT_IDLE_TIMEOUT_SECONDS = 12.0
"""Idle time after which a connection is not reused, if the server announces none."""
IDLE_TIMEOUT_MARGIN_SECONDS = 0.8
"""Time before the server's idle timeout from which on a connection is not reused."""


class ClientConnection:
    """Sends requests and reads replies; never retries.

    After an exchange whose reply was not read to its end, the connection must be
    closed. ``on_receive`` is told the number of bytes of each receive.
    """

    def __init__(
        self, stream: ByteStream, on_receive: Callable[[int], None] = lambda _: None
    ) -> None:
        self._stream = stream
        self._on_receive = on_receive
        self._conn = h11.Connection(h11.CLIENT, MAX_REPLY_HEAD_BYTES)
        self._request_written = True
        self._reply_ended = False
        self._request_method = b""
        self._idle_timeout = DEFAULT_IDLE_TIMEOUT_SECONDS
        self._connection_lost = False
        self._is_given_up = False
        self._parsed: h11.Event | h11.RemoteProtocolError | None = None
        """What followed the data that was returned last, if that was received."""
        self.used = False
        """Whether an exchange was completed on this connection."""
        self.opened_at = time.monotonic()
        self.idle_since = self.opened_at
        self.received_at = self.opened_at
        """Time at which anything was received last."""
        self.via = ""
        """Name of the host through which the connection leads, empty for none."""
        self._poller = select.poll()
        limit_silence(stream)
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        self._poller.register(raw_socket.fileno(), select.POLLIN)

    @classmethod
    async def connect(
        cls,
        address: str,
        timeout: float,
        on_receive: Callable[[int], None] = lambda _: None,
    ) -> ClientConnection:
        """Connect to ``IP:port`` within ``timeout`` seconds.

        Raises PeerRefusedError if nothing listens there, or another NotSentError.
        """
        host, _, port_text = address.rpartition(":")
        port = parse_whole_number(port_text)
        if port is None or port > MAX_PORT:
            raise NotSentError(f"{address[:MAX_SHOWN_CHARS]!r} has no valid port")
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError, ValueError) as exc:
            if isinstance(exc.__cause__ or exc, ConnectionRefusedError):
                raise PeerRefusedError(f"{address}: {exc!r}") from exc
            raise NotSentError(f"{address}: {exc!r}") from exc
        return cls(stream, on_receive)

    def limit_buffers(self, size: int) -> None:
        """Fix the sizes of the kernel's buffers."""
        with contextlib.suppress(OSError):
            limit_buffers(self._stream, size)

    @contextlib.asynccontextmanager
    async def exchange(
        self, method: bytes, target: bytes, headers: list[Header], body: bytes
    ) -> AsyncIterator[RawReplyHead]:
        """Send a request and yield the head of its reply.

        Raises NotSentError if the request can't be encoded, and NoReplyError for any
        failure after that, as the request may have been sent.
        """
        self._request_method = method
        self._reply_ended = False
        parts = self._encode_request(method, target, headers, body)
        if sum(map(len, parts)) <= MAX_INLINE_REQUEST_BYTES:
            await self._write(parts)
            yield await self.next_head()
            return
        failure: Exception | None = None
        async with anyio.create_task_group() as tasks:
            self._request_written = False
            tasks.start_soon(self._write_in_task, parts)
            try:
                yield await self.next_head()
            except Exception as exc:  # noqa: BLE001
                # Raised below, as the task group would wrap it in an ExceptionGroup.
                failure = exc
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def next_head(self) -> RawReplyHead:
        """Return the head of the next reply; raises NoReplyError."""
        for _ in range(MAX_INTERIM_HEADS + 1):
            event = await self._next_head_event()
            if isinstance(event, h11.Response):
                head = raw_reply_head(event, self._request_method)
                self._update_idle_timeout(head.headers)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise MalformedReplyError(
                    f"expected the head of a reply, got {type(event).__name__}"
                )
        raise EndlessReplyError(f"more than {MAX_INTERIM_HEADS} interim heads")

    async def next_data(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raises NoReplyError.

        These are all bytes that have been received, as each return costs its caller a
        write and a turn of the event loop.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data) + self._received_data()
        if isinstance(event, h11.EndOfMessage):
            self._reply_ended = True
            return None
        raise MalformedReplyError(
            f"expected the body of a reply, got {type(event).__name__}"
        )

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body; raises EndlessReplyError above ``limit`` bytes."""
        body = bytearray()
        while (data := await self.next_data()) is not None:
            body += data
            if len(body) > limit:
                raise EndlessReplyError(f"body exceeds {limit} bytes")
        return bytes(body)

    async def skip_reply(self) -> None:
        """Discard a late reply to an earlier request and expect the next reply.

        The new parser state needs a request, so a placeholder is encoded, not sent.
        Raises MalformedReplyError if the connection ends with the discarded reply, and
        EndlessReplyError if that is too long or takes too long.
        """
        with anyio.move_on_after(MAX_SKIPPED_REPLY_SECONDS) as scope:
            await self.read_body(MAX_SKIPPED_REPLY_BYTES)
        if scope.cancelled_caught:
            raise EndlessReplyError(
                f"reply to another request exceeds {MAX_SKIPPED_REPLY_SECONDS} s"
            )
        surplus, closed = self._conn.trailing_data
        if closed or self._conn.their_state is not h11.DONE:
            raise MalformedReplyError(
                "connection ended after a reply to another request"
            )
        self._conn = h11.Connection(h11.CLIENT, MAX_REPLY_HEAD_BYTES)
        self._conn.send(
            h11.Request(
                method=self._request_method, target=b"/", headers=_PLACEHOLDER_HEADERS
            )
        )
        self._conn.send(h11.EndOfMessage())
        if surplus:
            self._conn.receive_data(surplus)
        self._reply_ended = False

    async def is_request_taken(self) -> bool:
        """Return whether the server's kernel has the whole request, or soon has it."""
        return await is_sent_data_taken(self._stream)

    def finish(self) -> bool:
        """End the exchange and return whether the connection can be reused."""
        if self._connection_lost or not self._reply_ended or not self._request_written:
            return False
        try:
            self._conn.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.used = True
        self.idle_since = time.monotonic()
        return not self._conn.trailing_data[0]

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection can be reused.

        That is, before its idle timeout, if the server neither closed the connection
        nor sent anything. ``now`` is in monotonic seconds.
        """
        if now - self.idle_since > self._idle_timeout:
            return False
        if isinstance(self._stream, TunnelStream) and self._stream.has_unread:
            return False
        return not self._poller.poll(0)

    def detach(self) -> tuple[ByteStream, bytes]:
        """Return the connection after a reply, for use by another protocol.

        With it come the bytes that followed the reply. It must not be used here any
        more.
        """
        return self._stream, self._conn.trailing_data[0]

    async def give_up(self) -> None:
        """Close the connection: the exchange on it raises PathCutError."""
        self._is_given_up = True
        await self.close()

    async def close(self) -> None:
        """Close the connection at once.

        One through another host is reset within an exchange: what is still to be sent
        would be passed on to the server before its end.
        """
        if self.via and not self._reply_ended:
            reset_on_close(self._stream)
        await anyio.aclose_forcefully(self._stream)

    def _encode_request(
        self, method: bytes, target: bytes, headers: list[Header], body: bytes
    ) -> list[bytes]:
        try:
            parts = [
                self._conn.send(
                    h11.Request(method=method, target=target, headers=headers)
                )
            ]
            if body:
                parts.append(self._conn.send(h11.Data(data=body)))
            parts.append(self._conn.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as exc:
            raise NotSentError(f"request can't be encoded: {exc}") from exc
        return [part for part in parts if part]

    async def _write(self, parts: list[bytes]) -> None:
        try:
            for data in write_slices(parts):
                await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise NoReplyError(f"sending failed: {exc!r}") from exc

    async def _write_in_task(self, parts: list[bytes]) -> None:
        try:
            await self._write(parts)
            self._request_written = True
        except NoReplyError:
            # Reading the reply fails as well and reports the error.
            self._connection_lost = True

    async def _next_head_event(self) -> h11.Event:
        """Return the next event; a head that has begun must be received in time."""
        if not self._conn.trailing_data[0]:
            self._conn.receive_data(await self._receive())
        with anyio.move_on_after(MAX_HEAD_SECONDS):
            return await self._next_event()
        raise EndlessReplyError(f"head not received within {MAX_HEAD_SECONDS} s")

    def _received_data(self) -> bytes:
        """Return the further bytes of the body that have been received."""
        parts: list[bytes] = []
        try:
            while isinstance(event := self._conn.next_event(), h11.Data):
                parts.append(event.data)
        except h11.RemoteProtocolError as exc:
            self._parsed = exc
        else:
            self._parsed = event if isinstance(event, h11.Event) else None
        return b"".join(parts)

    def _parse_event(self) -> object:
        parsed, self._parsed = self._parsed, None
        if isinstance(parsed, h11.RemoteProtocolError):
            raise parsed
        return parsed or self._conn.next_event()

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._parse_event()
            except h11.RemoteProtocolError as exc:
                if exc.error_status_hint == HEAD_TOO_LARGE_STATUS:
                    raise EndlessReplyError(str(exc)) from exc
                raise MalformedReplyError(str(exc)) from exc
            if event is h11.PAUSED:
                raise MalformedReplyError("reply has already ended")
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            self._conn.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            data = await self._stream.receive(MAX_RECEIVE_BYTES)
        except anyio.EndOfStream:
            self._connection_lost = True
            return b""
        except TunnelCutError as exc:
            raise PathCutError(str(exc)) from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            if self._is_given_up:
                raise PathCutError("given up, as the path is silent") from exc
            raise NoReplyError(f"connection lost: {exc!r}") from exc
        self.received_at = time.monotonic()
        self._on_receive(len(data))
        return data

    def _update_idle_timeout(self, headers: HeaderList) -> None:
        for part in headers.text(b"keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            seconds = parse_whole_number(value)
            if name.lower() == "timeout" and seconds is not None:
                self._idle_timeout = max(0.0, seconds - IDLE_TIMEOUT_MARGIN_SECONDS)


_PLACEHOLDER_HEADERS = [(b"Host", b"-")]
