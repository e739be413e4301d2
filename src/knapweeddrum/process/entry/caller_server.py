"""Server for the connections of callers."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream, TaskGroup

from knapweeddrum.http.listener import Listener, listen
from knapweeddrum.process.entry.caller_session import CallerSession
from knapweeddrum.process.entry.client_connections import ClientRoom, ConnectionGate
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.request_parts import RequestParts
from knapweeddrum.telemetry.counters import LISTEN_FAILED_COUNT
from knapweeddrum.telemetry.entry_events import CONNECTIONS_ENDED, LISTEN_FAILED
from knapweeddrum.telemetry.events import TASK_FAILED

LISTEN_RETRY_SECONDS = 0.05
"""Pause after the address could not be bound again."""


class CallerServer:
    """Accepts callers' connections and runs a session for each."""

    def __init__(self, ctx: EntryContext, parts: RequestParts) -> None:
        self._ctx = ctx
        self._parts = parts
        self._sessions: set[CallerSession] = set()
        self._accepting = anyio.CancelScope()
        self._listeners: list[Listener] = []
        """The current one, and earlier ones with connections that are opening."""
        self._is_listening = False
        self._is_paused = False
        self._is_stopped = False
        self._may_accept = anyio.Event()
        """Set and replaced as accepting may go on, or has ended for good."""
        connections = ctx.connections
        self._gate = ConnectionGate(connections, connections.callers)

    @property
    def has_sessions(self) -> bool:
        """Return whether any connection is open, or may be until the listener closes.

        While connections are accepted, only those count that are open.
        """
        is_closing = self._is_listening and self._accepting.cancel_called
        is_opening = any(listener.opening for listener in self._listeners)
        return bool(self._sessions) or is_opening or is_closing

    def requests_in_progress(self) -> list[str]:
        """Return the identifiers of the requests that have no whole answer yet."""
        return sorted(
            session.request_id for session in self._sessions if session.request_id
        )

    def report_end(self) -> None:
        """Log what is open as the process ends."""
        self._ctx.events.emit(
            CONNECTIONS_ENDED,
            open=len(self._sessions),
            unanswered=sum(session.is_unanswered for session in self._sessions),
            receiving=sum(session.is_receiving for session in self._sessions),
        )

    async def run(self) -> None:
        """Accept connections until stopped; serve them until cancelled.

        Raises OSError if the address can't be bound at first; later that is tried
        again.
        """
        async with anyio.create_task_group() as tasks:
            await self._accept(tasks)
            while not self._is_stopped:
                if self._is_paused:
                    await self._may_accept.wait()
                    self._may_accept = anyio.Event()
                    continue
                try:
                    await self._accept(tasks)
                except OSError as exc:
                    self._ctx.metrics.count(LISTEN_FAILED_COUNT)
                    self._ctx.events.emit(LISTEN_FAILED, error=str(exc))
                    await anyio.sleep(LISTEN_RETRY_SECONDS)

    async def _accept(self, tasks: TaskGroup) -> None:
        """Listen until paused or stopped."""
        address = self._ctx.settings.caller_address
        async with listen(
            address, self._ctx.record_accept_failure, self._gate
        ) as listener:
            opening = [earlier for earlier in self._listeners if earlier.opening]
            self._listeners = [*opening, listener]
            self._accepting = anyio.CancelScope()
            if self._is_stopped:
                self._accepting.cancel()
            self._is_listening = True
            try:
                with self._accepting:
                    await listener.serve_in(tasks, self._serve)
            finally:
                self._is_listening = False

    def stop_accepting(self) -> None:
        """Accept the connections that wait, and no more from the next turn on."""
        self._is_stopped = True
        self._accepting.cancel()
        self._may_accept.set()

    def pause_accepting(self) -> None:
        """Accept the connections that wait, then none: the kernel resets others."""
        if not self._is_paused:
            self._is_paused = True
            self._accepting.cancel()

    def resume_accepting(self) -> None:
        """Go on after a pause, if any."""
        if self._is_paused:
            self._is_paused = False
            self._may_accept.set()

    def end_idle(self) -> None:
        """End the connections on which no request has been received."""
        for session in self._sessions:
            session.end_if_idle()

    def refuse_late_bodies(self) -> None:
        """Refuse the requests that are being received and may outlast the drain."""
        for session in self._sessions:
            session.refuse_late_body(self._ctx.drain_ends_at)

    def give_up_requests(self) -> None:
        """Refuse the requests for which no answer has begun."""
        for session in self._sessions:
            session.give_up()

    async def _serve(self, stream: SocketStream) -> None:
        self._ctx.link_load.accept()
        connections = self._ctx.connections
        room = ClientRoom(connections, connections.callers, stream)
        session = CallerSession(self._ctx, self._parts, stream, room)
        self._sessions.add(session)
        try:
            await session.run()
        except Exception as exc:  # noqa: BLE001
            # One connection must not end those of other callers.
            self._ctx.events.emit(
                TASK_FAILED, task="connection of a caller", error=repr(exc)
            )
        finally:
            self._sessions.discard(session)
            room.close()
            # Also when cancelled: the end of the process may come much later.
            await session.abort()
