"""A read of the store that is asked again if it stays without an answer."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable

import anyio
import anyio.abc

from knapweeddrum.http.exceptions import ExchangeError, NoReplyError
from knapweeddrum.platform.exceptions import EraDoubtError
from knapweeddrum.platform.store_exchange import ConnectionLease, StoreExchange
from knapweeddrum.platform.store_question import StoreReply

MAX_EXCHANGES = 3
"""Exchanges at a time."""
RECONNECT_SECONDS = 0.6
"""Time after which another connection is tried while none has come about.

The kernel tries one again after a second and after three, so that a path that is back
would be found late.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPatience:
    """Times in seconds from when an answer is due.

    After ``late`` it is asked for on another connection; after twice that if the first
    connection was new, so that it is known to work. After ``silence`` without a byte
    the read is given up.
    """

    late: float
    silence: float


class HedgedRead:
    """Asks on a connection, and then on new ones, while nothing comes in.

    A connection may have gone silent while new ones work, and a store that was away may
    have dropped a question; on a full link all answers are slow alike. What receives
    something first goes on, so that an answer that comes in slowly is neither thrown
    away nor sent twice. ``on_late`` is called once if there is no whole answer when
    ``patience.late`` is over; ``due_at`` is in monotonic seconds.
    """

    def __init__(
        self,
        new_exchange: Callable[[Callable[[], None]], StoreExchange],
        new_lease: Callable[[bool], ConnectionLease],
        due_at: float,
        patience: ReadPatience,
        on_late: Callable[[], None],
    ) -> None:
        self._new_exchange = new_exchange
        self._new_lease = new_lease
        self._patience = patience
        self._on_late = on_late
        self._late_at = due_at + patience.late
        self._heard_at = due_at
        self.began_at: float | None = None
        """Time at which the answer began to come in, None before that."""
        self._asks_again_at = time.monotonic() + RECONNECT_SECONDS
        self._asked_at = time.monotonic()
        self._is_late = False
        self._winner: StoreExchange | None = None
        self._running = 0
        self._ended = anyio.Event()
        self._reply: StoreReply | None = None
        self._error: ExchangeError | EraDoubtError = NoReplyError("no reply in time")
        self.exchanges: list[StoreExchange] = []

    @property
    def has_silent_connection(self) -> bool:
        """Return whether a later connection had an answer and the first one nothing."""
        return self._winner is not None and self._winner is not self.exchanges[0]

    async def run(self) -> StoreReply:
        """Return the answer; raises NotSentError, NoReplyError and EraDoubtError."""
        async with anyio.create_task_group() as tasks:
            self._start(tasks)
            while not self._ended.is_set():
                with anyio.move_on_after(self._next_look_at() - time.monotonic()):
                    await self._ended.wait()
                self._look(tasks, time.monotonic())
            tasks.cancel_scope.cancel()
        if self._reply is None:
            raise self._error
        return self._reply

    def _next_look_at(self) -> float:
        looks = [self._heard_at + self._patience.silence]
        if not self._is_late:
            looks.append(self._late_at)
        if self._may_ask_again():
            looks.append(self._asks_again_at)
        return min(looks)

    def _may_ask_again(self) -> bool:
        if self._winner is not None:
            return False
        return len(self.exchanges) < MAX_EXCHANGES or not self._is_last_connected()

    def _is_last_connected(self) -> bool:
        return self.exchanges[-1].is_connected

    def _look(self, tasks: anyio.abc.TaskGroup, now: float) -> None:
        if self._ended.is_set():
            return
        if now >= self._heard_at + self._patience.silence:
            self._give_up_all()
            return
        if not self._is_late and now >= self._late_at:
            self._is_late = True
            self._on_late()
        if self._may_ask_again() and now >= self._asks_again_at:
            self._ask_again(tasks, now)

    def _ask_again(self, tasks: anyio.abc.TaskGroup, now: float) -> None:
        if self._is_last_connected():
            patient_until = self._patient_until()
            if now < patient_until:
                self._asks_again_at = patient_until
                return
        elif len(self.exchanges) == MAX_EXCHANGES:
            self.exchanges.pop().give_up()
        self._asked_at = now
        self._asks_again_at = now + RECONNECT_SECONDS
        self._start(tasks)

    def _patient_until(self) -> float:
        """Return when the question is asked again though the last one was sent."""
        first = self.exchanges[0]
        if len(self.exchanges) > 1:
            return self._asked_at + 2.0 * self._patience.late
        is_known_to_work = first.on_new_connection and not first.has_begun
        pauses = 2.0 if is_known_to_work else 1.0
        return self._heard_at + pauses * self._patience.late

    def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        exchange = self._new_exchange(lambda: self._record_progress(exchange))
        self.exchanges.append(exchange)
        self._running += 1
        tasks.start_soon(self._run, exchange, len(self.exchanges) > 1)

    async def _run(self, exchange: StoreExchange, is_later: bool) -> None:
        try:
            reply = await exchange.run(self._new_lease(is_later))
        except (ExchangeError, EraDoubtError) as exc:
            self._error = exc
        else:
            if self._winner in (None, exchange):
                self._reply = reply
        self._running -= 1
        if self._reply is not None or not self._running:
            self._ended.set()

    def _record_progress(self, exchange: StoreExchange) -> None:
        now = time.monotonic()
        self._heard_at = now
        self.began_at = self.began_at or now
        self._asks_again_at = now + self._patience.late
        if self._winner is not None or len(self.exchanges) == 1:
            return
        self._winner = exchange
        for other in self.exchanges:
            if other is not exchange:
                other.give_up()

    def _give_up_all(self) -> None:
        for exchange in self.exchanges:
            exchange.give_up()
