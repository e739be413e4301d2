"""A server connection that carries one HTTP exchange at a time.

Built on h11 and anyio instead of uvicorn, because uvicorn has no timeout for the head
of a request, does not reply to malformed requests with the appropriate status, and
terminates a chunked reply as if it were complete when the reply's source is cut off.
"""

from __future__ import annotations

import contextlib
import dataclasses
import select
import socket
from collections.abc import Callable

import anyio
import anyio.lowlevel
import h11
from anyio.abc import SocketAttribute, SocketStream

from knapweeddrum.http.connection_hold import ConnectionHold
from knapweeddrum.http.connection_room import ConnectionRoom, UnlimitedRoom
from knapweeddrum.http.exceptions import (
    MalformedRequestError,
    NoRoomError,
    PeerDisconnectedError,
)
from knapweeddrum.http.header_list import Header, HeaderList
from knapweeddrum.http.socket_options import limit_buffers, set_reset_on_close
from knapweeddrum.http.socket_writing import write_slices
from knapweeddrum.value.connection_phase import ConnectionPhase

MAX_RECEIVE_BYTES = 65_536
MAX_READ_AHEAD_BYTES = 65_536
"""Bytes of the next request that may be buffered while a request is being served."""
LINGERING_CLOSE_SECONDS = 5.0
"""Time for which bytes are still received and discarded before a connection closes."""

LINGERING_CLOSE_SILENCE_SECONDS = 0.5
"""Time without any byte after which it closes sooner."""

SEND_TIMEOUT_SECONDS = 15.0
"""Time in which a peer must take 64 KiB, the idle timeout for requests as well."""

COPIES = 2
"""Copies of a body in memory when it is whole."""

NOTICE_TURNS = 5
"""Turns of the event loop after which pending input has been received."""
CLOSE_HEADER = (b"Connection", b"close")

DISCONNECT_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Method, target and headers of a received request."""

    method: bytes
    target: bytes
    headers: HeaderList


class ServerConnection:
    """Reads requests and writes replies."""

    def __init__(
        self,
        stream: SocketStream,
        max_head_bytes: int,
        is_closing: Callable[[], bool] = lambda: False,
        on_receive: Callable[[int], None] = lambda _: None,
        room: ConnectionRoom | None = None,
    ) -> None:
        """Serve one connection; replies end it from when ``is_closing`` is true.

        ``on_receive`` is told the number of bytes of each receive.
        """
        self._stream = stream
        room = room or UnlimitedRoom()
        room.bind(self.shed)
        if room.buffer_bytes:
            limit_buffers(stream, room.buffer_bytes)
        self._hold = ConnectionHold(room)
        self._is_closing = is_closing
        self._on_receive = on_receive
        self._conn = h11.Connection(h11.SERVER, max_head_bytes)
        self._max_head_bytes = max_head_bytes
        self._poller = select.poll()
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self._poller.register(self._socket.fileno(), select.POLLIN)
        self._read_ahead = bytearray()
        self._eof = False
        self._reading_stopped = False
        self._aborted = False
        self.is_waiting = False
        """Whether no byte of the next request has been received."""

    async def next_request(
        self, idle_timeout: float, head_timeout: float
    ) -> ReceivedRequest | None:
        """Return the next request, None if the connection ends or stays idle.

        Timeouts are in seconds. Raises MalformedRequestError for an invalid, oversized
        or incomplete head, and PeerDisconnectedError.
        """
        self._feed_read_ahead()
        with anyio.move_on_after(idle_timeout) as scope:
            event = await self._first_event()
        if scope.cancelled_caught:
            # A request may have been received at that moment.
            self.stop_reading()
            event = await self._first_event()
        if event is None:
            return None
        if event is h11.NEED_DATA:
            event = await self._complete_head(head_timeout)
        return self._to_request(event)

    async def read_body(self, limit: int, timeout: float) -> bytes:
        """Return the body of the request.

        Raises MalformedRequestError above ``limit`` bytes or after ``timeout``
        seconds, NoRoomError if the host has no memory for it, and
        PeerDisconnectedError.
        """
        if self._conn.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))
        # A list of parts would hold many times a body that comes in tiny chunks.
        body = bytearray()
        with anyio.move_on_after(timeout), anyio.CancelScope() as self._hold.sheddable:
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    if len(body) + len(event.data) > limit:
                        raise MalformedRequestError(413, "request body too large")
                    self._hold.take(len(event.data) * COPIES)
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self._hold.enter(ConnectionPhase.SERVED)
                    return bytes(body)
                else:
                    raise PeerDisconnectedError(
                        "connection ended within the request body"
                    )
        if self._hold.sheddable.cancel_called:
            raise NoRoomError(f"shed, {self._hold.taken} bytes of its body held")
        raise MalformedRequestError(408, "request body not received in time")

    def shed(self) -> None:
        """End the connection, or refuse the request that is being received.

        A request that is being served is answered; those sent ahead of its answer
        are not read.
        """
        if not self._hold.shed():
            self.stop_reading()

    async def reserve(self, count: int) -> None:
        """Wait until the host has memory for so many bytes of an answer."""
        await self._hold.wait_and_take(count * COPIES)

    def stop_reading(self) -> None:
        """End the connection unless a request was received before.

        The kernel reports the end of the input after all that it has received, so that
        next_request returns such a request, and None otherwise.
        """
        if self._reading_stopped:
            return
        self._reading_stopped = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    async def notice_disconnect(self) -> None:
        """Let wait_for_disconnect see first what the peer has sent since.

        A process that is behind may get to a request after its caller has left.
        """
        for _ in range(NOTICE_TURNS):
            if self._reading_stopped or not self.has_pending_input():
                return
            await anyio.lowlevel.checkpoint()

    @property
    def has_begun_reply(self) -> bool:
        """Return whether part of a reply may have been sent."""
        return self._conn.our_state is not h11.SEND_RESPONSE

    def has_pending_input(self) -> bool:
        """Return whether the peer has disconnected, or sent data after its request."""
        return self._eof or bool(self._poller.poll(0))

    async def wait_for_disconnect(self) -> None:
        """Return when the peer closes the connection; run while a request is served.

        What the peer sends meanwhile is buffered for the next request. Once that
        exceeds MAX_READ_AHEAD_BYTES, with what the parser has of it already, or the
        host has no memory, reading stops and this method never returns. Nor does it
        if this side has stopped reading.
        """
        unparsed = len(self._conn.trailing_data[0])
        while not self._eof:
            if unparsed + len(self._read_ahead) > MAX_READ_AHEAD_BYTES:
                await anyio.sleep_forever()
            data = await self._receive()
            self._read_ahead += data
            if not self._hold.try_take(len(data)):
                await anyio.sleep_forever()
        if self._reading_stopped:
            await anyio.sleep_forever()

    async def send_reply(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a complete reply; raises PeerDisconnectedError."""
        length = (b"Content-Length", str(len(body)).encode())
        events: list[h11.Event] = [self._reply_head(status, [*headers, length])]
        if body:
            events.append(h11.Data(data=body))
        await self._send(*events, h11.EndOfMessage())

    async def start_reply(self, status: int, headers: list[Header]) -> None:
        """Write the head of a reply; without a Content-Length its body is chunked.

        To a client of HTTP/1.0 the end of the connection ends the body instead.
        """
        self._reset_when_closed(is_reset=self._is_ended_by_connection(headers))
        await self._send(self._reply_head(status, headers))

    async def send_data(self, data: bytes) -> None:
        """Write a chunk of the body."""
        await self._send(h11.Data(data=data))

    async def end_reply(self) -> None:
        """Write the end of the body."""
        await self._send(h11.EndOfMessage())
        self._reset_when_closed(is_reset=False)

    def finish(self) -> bool:
        """End the exchange and return whether the connection can be reused."""
        self._hold.give_back()
        if self._eof or self._hold.is_last:
            return False
        try:
            self._conn.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._hold.try_take(len(self._read_ahead) + len(self._conn.trailing_data[0]))
        return True

    async def close(self) -> None:
        """Close gracefully: signal the end, then discard input until the peer closes.

        Closing at once while input is unread could reset the connection before the
        peer has received the last reply.
        """
        self._hold.enter(ConnectionPhase.ENDING)
        try:
            with anyio.move_on_after(LINGERING_CLOSE_SECONDS) as self._hold.sheddable:
                await self._stream.send_eof()
                while await self._discard_input():
                    pass
        except DISCONNECT_ERRORS:
            pass
        finally:
            await anyio.aclose_forcefully(self._stream)

    def detach(self) -> SocketStream:
        """Return the connection after a reply, for use by another protocol.

        It must not be used here any more.
        """
        return self._stream

    async def abort(self) -> None:
        """Close at once, so that an unfinished reply does not look complete."""
        self._aborted = True
        await anyio.aclose_forcefully(self._stream)

    def _reply_head(self, status: int, headers: list[Header]) -> h11.Response:
        if self._reading_stopped or self._hold.is_last or self._is_closing():
            headers = [*headers, CLOSE_HEADER]
        return h11.Response(status_code=status, headers=headers)

    def _is_ended_by_connection(self, headers: list[Header]) -> bool:
        has_length = any(name.lower() == b"content-length" for name, _ in headers)
        return self._conn.their_http_version == b"1.0" and not has_length

    def _reset_when_closed(self, *, is_reset: bool) -> None:
        """Have the kernel reset the connection if it is closed from here on.

        That holds for the end of the process too. Raises PeerDisconnectedError if the
        connection has ended.
        """
        try:
            set_reset_on_close(self._socket, is_reset=is_reset)
        except OSError as exc:
            raise PeerDisconnectedError(f"connection has ended: {exc!r}") from exc

    async def _first_event(self) -> object:
        """Return an event after at most one receive, None if the connection ended."""
        self._hold.sheddable = None
        self._hold.enter(ConnectionPhase.RECEIVING)
        event = self._parse_event()
        if event is not h11.NEED_DATA:
            return event
        if self._conn.trailing_data[0]:
            return h11.NEED_DATA
        self.is_waiting = True
        self._hold.enter(ConnectionPhase.WAITING)
        try:
            data = b"" if self._eof else await self._receive()
        finally:
            self.is_waiting = False
            self._hold.enter(ConnectionPhase.RECEIVING)
        if not data or self._aborted:
            return None
        self._conn.receive_data(data)
        return self._parse_event()

    async def _complete_head(self, timeout: float) -> object:
        with anyio.move_on_after(timeout):
            return await self._next_event()
        raise MalformedRequestError(408, "request head not received in time")

    def _to_request(self, event: object) -> ReceivedRequest | None:
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise MalformedRequestError(400, "not an HTTP request")
        headers = HeaderList(event.headers.raw_items())
        # h11 limits the size of incomplete heads only.
        if len(event.target) + headers.size > self._max_head_bytes:
            raise MalformedRequestError(431, "request head too large")
        return ReceivedRequest(bytes(event.method), bytes(event.target), headers)

    def _parse_event(self) -> object:
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise MalformedRequestError(exc.error_status_hint, str(exc)) from exc

    async def _next_event(self) -> object:
        while True:
            event = self._parse_event()
            if event is not h11.NEED_DATA:
                return event
            self._feed(await self._receive())

    def _feed(self, data: bytes) -> None:
        try:
            self._conn.receive_data(data)
        except RuntimeError as exc:
            raise PeerDisconnectedError("connection has already ended") from exc

    def _feed_read_ahead(self) -> None:
        if self._read_ahead:
            self._conn.receive_data(bytes(self._read_ahead))
            self._read_ahead.clear()

    async def _discard_input(self) -> bool:
        """Discard what the peer sends; return False at its end or after a silence."""
        with anyio.move_on_after(LINGERING_CLOSE_SILENCE_SECONDS):
            return bool(await self._receive())
        return False

    async def _receive(self) -> bytes:
        try:
            data = await self._stream.receive(MAX_RECEIVE_BYTES)
        except anyio.EndOfStream:
            self._eof = True
            return b""
        except DISCONNECT_ERRORS:
            self._eof = True
            return b""
        self._on_receive(len(data))
        return data

    async def _send(self, *events: h11.Event) -> None:
        # Once the events are encoded, a cancellation would lose what they say.
        await anyio.lowlevel.checkpoint_if_cancelled()
        try:
            parts = [self._conn.send(event) for event in events]
        except h11.LocalProtocolError as exc:
            raise PeerDisconnectedError(f"reply can't be sent: {exc}") from exc
        phase, scope = self._hold.phase, self._hold.sheddable
        try:
            for data in write_slices([part for part in parts if part]):
                await self._write(data)
        except DISCONNECT_ERRORS as exc:
            raise PeerDisconnectedError(repr(exc)) from exc
        finally:
            self._hold.sheddable = scope
            self._hold.enter(phase)

    async def _write(self, data: bytes) -> None:
        self._hold.enter(ConnectionPhase.SENDING)
        with anyio.move_on_after(SEND_TIMEOUT_SECONDS) as self._hold.sheddable:
            await self._stream.send(data)
            return
        raise PeerDisconnectedError("the peer takes nothing of its answer")
