"""The end of a tunnel that is connected to the endpoint."""

from __future__ import annotations

import contextlib
import select
import time
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream, SocketAttribute

from knapweeddrum.http.sent_data import is_sent_data_taken
from knapweeddrum.http.socket_options import (
    limit_buffers,
    reset_on_close,
    send_keep_alives,
)
from knapweeddrum.http.tunnel_frames import (
    CLOSING_FRAME,
    END_FRAME,
    RESET_FRAME,
    encode_frame,
)

MAX_RECEIVE_BYTES = 65_536
CLIENT_CHECK_SECONDS = 0.1
LAST_FRAMES = (END_FRAME, RESET_FRAME)

DISCONNECT_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class Tunnel:
    """Passes bytes on between another host and an endpoint.

    ``client`` is the other host. No more is read from either than the other has taken.
    ``on_receive`` is told the number of bytes of each receive.
    """

    def __init__(
        self,
        client: ByteStream,
        endpoint: ByteStream,
        buffer_bytes: int,
        on_receive: Callable[[int], None],
    ) -> None:
        self._client = client
        self._endpoint = endpoint
        self._on_receive = on_receive
        self.received_at = time.monotonic()
        """Time at which the endpoint sent anything last."""
        self.is_over = False
        self._sending = anyio.Lock()
        self._client_poller = select.poll()
        client_socket = client.extra(SocketAttribute.raw_socket)
        self._client_poller.register(client_socket.fileno(), select.POLLRDHUP)
        for stream in (client, endpoint):
            send_keep_alives(stream)
            if buffer_bytes:
                limit_buffers(stream, buffer_bytes)

    async def run(self) -> None:
        """Pass bytes on until the other host closes the tunnel, or it is cut."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pass_answers)
                await self._pass_requests()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._endpoint)
                await anyio.aclose_forcefully(self._client)
            self.is_over = True

    async def abort(self) -> None:
        """Cut the tunnel, as nothing comes from the endpoint any more."""
        reset_on_close(self._client)
        await anyio.aclose_forcefully(self._client)

    async def announce_end(self) -> None:
        """Tell the other host not to use the tunnel again."""
        with contextlib.suppress(*DISCONNECT_ERRORS):
            await self._send(CLOSING_FRAME)

    async def _pass_requests(self) -> None:
        """Pass on what the other host sends, until it closes the tunnel.

        What an endpoint does not take any more is discarded, as its answer may still be
        on the way.
        """
        with contextlib.suppress(anyio.EndOfStream, *DISCONNECT_ERRORS):
            while not self._has_client_left():
                data = await self._client.receive(MAX_RECEIVE_BYTES)
                self._on_receive(len(data))
                await self._send_request(data)

    async def _send_request(self, data: bytes) -> None:
        """Send a part of a request; give up if the other host leaves meanwhile."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_after_client, tasks.cancel_scope)
            with contextlib.suppress(*DISCONNECT_ERRORS):
                await self._endpoint.send(data)
            tasks.cancel_scope.cancel()

    async def _cancel_after_client(self, scope: anyio.CancelScope) -> None:
        while not self._has_client_left():
            await anyio.sleep(CLIENT_CHECK_SECONDS)
        scope.cancel()

    def _has_client_left(self) -> bool:
        """Return whether the other host closed the tunnel, all read or not."""
        return bool(self._client_poller.poll(0))

    async def _pass_answers(self) -> None:
        """Pass on what the endpoint sends, and how it ended the connection.

        The other host closes the tunnel when it has read all.
        """
        with contextlib.suppress(*DISCONNECT_ERRORS):
            while (frame := await self._next_frame()) not in LAST_FRAMES:
                await self._send(frame)
            await self._send(frame)

    async def _next_frame(self) -> bytes:
        try:
            data = await self._endpoint.receive(MAX_RECEIVE_BYTES)
        except anyio.EndOfStream:
            # A reset may follow if the endpoint has not read the request.
            is_taken = await is_sent_data_taken(self._endpoint)
            return END_FRAME if is_taken else RESET_FRAME
        except DISCONNECT_ERRORS:
            return RESET_FRAME
        self.received_at = time.monotonic()
        self._on_receive(len(data))
        return encode_frame(data)

    async def _send(self, frame: bytes) -> None:
        async with self._sending:
            await self._client.send(frame)
