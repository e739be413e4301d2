"""A caller that follows the directory and keeps its connections."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import json
import random
import select
import time
import urllib.parse
from collections.abc import Sequence

import anyio

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import ExchangeError
from tests.process.entry.kept_connection import KeptAnswer, KeptConnection
from tests.process.entry.site.site_history import Outcome, SentRequest, SiteHistory
from tests.process.entry.site.site_host import HostPlace
from tests.process.entry.site.site_shape import (
    HOST_NAME,
    ORGANISATION_COUNT,
    RequestKind,
    SiteShape,
    api_key,
)

DIRECTORY_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
KEPT_SHARE = 0.75
"""Part of the requests that use an idle connection if there is one."""
IDLE_FRACTION = 0.8
"""Part of the idle timeout for which a connection is used again."""
ANSWER_MARGIN_SECONDS = 1.0
BODY_PIECES = 8
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHabits:
    """How callers behave, as parts of 1 and in seconds."""

    slow_bodies: float = 0.1
    """Part of the bodies that are sent in pieces."""
    slow_body_time: float = 1.6
    """Longest time over which such a body is sent."""
    leaving: float = 0.1
    """Part of the requests that the caller gives up."""
    stale: float = 0.3
    """Part of the callers that keep what the directory said three times as long."""


@dataclasses.dataclass(slots=True)
class IdleConnection:
    """A connection on which an answer has ended."""

    conn: KeptConnection
    host: HostPlace
    since: float


class SiteCaller:
    """Sends requests to the hosts that the directory names, or that it last named."""

    def __init__(
        self,
        data_centre: str,
        directories: Sequence[HostPlace],
        hosts: Sequence[HostPlace],
        shape: SiteShape,
        habits: CallerHabits,
        history: SiteHistory,
        numbers: itertools.count[int],
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._directories = directories
        self._hosts = {place.caller_address: place for place in hosts}
        self._shape = shape
        self._habits = habits
        self._history = history
        self._numbers = numbers
        self._rng = rng
        self._named: list[HostPlace] = []
        self._named_until = float("-inf")
        self._lifetime_factor = 3.0 if rng.random() < habits.stale else 1.0
        self._idle: list[IdleConnection] = []
        self._key = api_key(rng.randrange(ORGANISATION_COUNT))

    async def request(self, kind: RequestKind) -> None:
        """Send a request, and once more as the answers allow, within its time limit."""
        deadline = time.monotonic() + kind.time_limit
        failed: set[str] = set()
        for number in range(MAX_ATTEMPTS):
            await self._refresh()
            idle = self._take_idle() if number == 0 else None
            place = idle.host if idle else self._choose(failed)
            time_left = deadline - time.monotonic()
            if place is None or time_left <= 0:
                return
            conn = idle.conn if idle else await self._connect(place)
            if conn is None:
                failed.add(place.name)
                continue
            req = self._begin(kind, place, is_kept=idle is not None, limit=time_left)
            answer = await self._exchange(conn, kind, req)
            failed.add(place.name)
            retry_after = _retry_after(answer)
            if req.outcome is not Outcome.ANSWERED or retry_after is None:
                return
            await anyio.sleep(min(retry_after, time_left / 3))

    async def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle:
            await idle.conn.close()

    def _begin(
        self, kind: RequestKind, place: HostPlace, *, is_kept: bool, limit: float
    ) -> SentRequest:
        attempt = f"a{next(self._numbers):x}"
        req = SentRequest(
            attempt, kind.name, place.name, limit, is_kept, time.monotonic()
        )
        self._history.requests.append(req)
        return req

    async def _exchange(
        self, conn: KeptConnection, kind: RequestKind, req: SentRequest
    ) -> KeptAnswer | None:
        """Send and receive side by side, as the answer may come first."""
        limit = req.time_limit + ANSWER_MARGIN_SECONDS
        leaves = self._rng.random() < self._habits.leaving
        stays = self._rng.uniform(0.05, kind.mean_work) if leaves else limit + 1.0
        answer: KeptAnswer | None = None
        with anyio.move_on_after(stays) as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send, conn, kind, req)
                answer = await conn.answer(limit)
                tasks.cancel_scope.cancel()
        req.ended_at = time.monotonic()
        req.outcome = _outcome(conn, answer, has_left=scope.cancelled_caught)
        req.status = answer.status if answer else None
        if req.outcome is not Outcome.ANSWERED:
            await conn.close()
            return None
        assert answer is not None
        if answer.says_close or req.sent_at is None:
            await conn.close()
        else:
            place = next(p for p in self._hosts.values() if p.name == req.host)
            self._idle.append(IdleConnection(conn, place, time.monotonic()))
        return answer

    async def _send(
        self, conn: KeptConnection, kind: RequestKind, req: SentRequest
    ) -> None:
        body = bytes(self._draw_body_size(kind))
        head = self._head(kind, req, len(body))
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            may_be_slow = kind.time_limit > 2 * self._habits.slow_body_time
            if not may_be_slow or self._rng.random() >= self._habits.slow_bodies:
                await conn.send(head + body)
            else:
                await self._send_in_pieces(conn, head, body)
            req.sent_at = time.monotonic()

    async def _send_in_pieces(
        self, conn: KeptConnection, head: bytes, body: bytes
    ) -> None:
        await conn.send(head)
        pause = self._rng.uniform(0.0, self._habits.slow_body_time) / BODY_PIECES
        size = max(1, len(body) // BODY_PIECES)
        for start in range(0, len(body), size):
            await anyio.sleep(pause)
            await conn.send(body[start : start + size])

    def _head(self, kind: RequestKind, req: SentRequest, size: int) -> bytes:
        method = "GET" if kind.route_kind == "safe" else "POST"
        lines = [
            f"{method} {kind.path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Attempt-Id: {req.attempt}",
            f"Deadline-Ms: {max(1, round(req.time_limit * 1000))}",
            f"Authorization: Bearer {self._key}",
        ]
        if kind.is_stream:
            lines.append(f"Token-Usage: {kind.prompt_tokens},{kind.output_tokens}")
            session = self._rng.randrange(108)
            lines.append(
                f"Prompt-Prefix: aa:100,{session + 256:x}:100,{req.attempt}:100"
            )
        if size:
            lines.append(f"Content-Length: {size}")
        return "\r\n".join((*lines, "", "")).encode()

    def _draw_body_size(self, kind: RequestKind) -> int:
        if not kind.most_body:
            return 0
        drawn = kind.mean_body * self._rng.lognormvariate(0.0, 0.7)
        return max(1, min(kind.most_body, round(drawn)))

    def _take_idle(self) -> IdleConnection | None:
        now = time.monotonic()
        lasts = self._shape.idle_timeout * IDLE_FRACTION
        named = {place.name for place in self._named}
        usable: list[IdleConnection] = []
        for idle in self._idle:
            if now - idle.since < lasts and idle.host.name in named:
                usable.append(idle)
        self._idle = [idle for idle in usable if not _is_readable(idle.conn)]
        if not self._idle or self._rng.random() >= KEPT_SHARE:
            return None
        return self._idle.pop(self._rng.randrange(len(self._idle)))

    def _choose(self, failed: set[str]) -> HostPlace | None:
        usable = [place for place in self._named if place.name not in failed]
        return self._rng.choice(usable or self._named) if self._named else None

    async def _connect(self, place: HostPlace) -> KeptConnection | None:
        with contextlib.suppress(OSError), anyio.move_on_after(CONNECT_TIMEOUT_SECONDS):
            return await KeptConnection.connect(place.caller_address)
        return None

    async def _refresh(self) -> None:
        """Ask the nearest directories, if what they said has lapsed."""
        if time.monotonic() < self._named_until:
            return
        for place in self._directories:
            with anyio.move_on_after(DIRECTORY_TIMEOUT_SECONDS):
                if await self._ask(place):
                    return

    async def _ask(self, place: HostPlace) -> bool:
        query = urllib.parse.urlencode({"name": HOST_NAME, "zone": self._data_centre})
        target = f"/-/resolve?{query}&region=occidente".encode()
        try:
            conn = await ClientConnection.connect(
                place.directory_address, CONNECT_TIMEOUT_SECONDS
            )
        except (ExchangeError, OSError):
            return False
        body = b""
        try:
            headers = [(b"Host", HOST_NAME.encode()), (b"Connection", b"close")]
            async with conn.exchange(b"GET", target, headers, b"") as head:
                while (data := await conn.next_data()) is not None:
                    body += data
            if head.status != 200:
                return False
        except ExchangeError:
            return False
        finally:
            with anyio.CancelScope(shield=True):
                await conn.close()
        reply = json.loads(body)
        self._named = [self._hosts[address] for address in reply["addresses"]]
        lifetime = min(reply["ttlS"], 5.0) * self._lifetime_factor
        self._named_until = time.monotonic() + lifetime
        return True


def _is_readable(conn: KeptConnection) -> bool:
    """Return whether the host has ended a connection on which nothing is due."""
    poller = select.poll()
    poller.register(conn.fileno(), select.POLLIN)
    return conn.has_ended or bool(poller.poll(0))


def _outcome(
    conn: KeptConnection, answer: KeptAnswer | None, *, has_left: bool
) -> Outcome:
    if has_left:
        return Outcome.LEFT
    if answer is not None and answer.is_complete:
        return Outcome.ANSWERED
    if not conn.has_ended:
        return Outcome.SILENT
    return Outcome.UNANSWERED if answer is None else Outcome.CUT


def _retry_after(answer: KeptAnswer | None) -> float | None:
    """Return the seconds after which a refused request may be sent again."""
    if answer is None or answer.status not in {408, 421, 429, 503}:
        return None
    value = answer.headers.text(b"retry-after")
    return float(value) if value else 0.0
