"""Plays, without a network, who knows what began the streams that are taken up."""

from __future__ import annotations

import dataclasses
import random

from knapweeddrum.core.streams.origin_holders import (
    ASKED_HOSTS,
    TOLD_HOSTS,
    rank_holders,
)
from knapweeddrum.core.streams.stream_origin import StreamOrigin, stream_key
from knapweeddrum.core.streams.stream_origins import StreamOrigins
from knapweeddrum.value.host_record import HostRecord

ORGANISATION = "mill"
STEP_SECONDS = 0.1
VIEW_LAG_SECONDS = 3.0
"""Longest time until a host has read another's first heartbeat."""
FORGET_SECONDS = 5.0
"""Time after a kill for which a host is still believed ready."""


@dataclasses.dataclass(slots=True)
class SimulatedHost:
    """A start of a host: who sees it when, and what it knows."""

    record: HostRecord
    started_at: float
    origins: StreamOrigins
    seen_after: dict[str, float]
    killed_at: float = float("inf")
    cut_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """How often a stream was taken up, was known, and by how many questions."""

    taken_up: int
    known: int
    wrong: int
    questions: int
    notices: int


class OriginDay:
    """A fleet whose hosts are killed, replaced and cut off while streams break off."""

    def __init__(self, hosts: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._hosts: list[SimulatedHost] = []
        self._started = 0
        self._now = 0.0
        self._lost_notices = 0.02
        self.notices = 0
        for _ in range(hosts):
            self._start_host(-60.0)

    def play(self, seconds: float, streams_per_step: int, kill_share: float) -> Tally:
        """Begin streams, break them off and take each up at some other host."""
        known = taken_up = wrong = questions = 0
        pending: list[tuple[float, str, StreamOrigin]] = []
        while self._now < seconds:
            self._now += STEP_SECONDS
            self._disturb(kill_share)
            for _ in range(streams_per_step):
                pending.append(self._begin())
            due = [stream for stream in pending if stream[0] <= self._now]
            pending = [stream for stream in pending if stream[0] > self._now]
            for _, key, origin in due:
                found, asked = self._take_up(key)
                taken_up += 1
                questions += asked
                known += found is not None
                wrong += found is not None and found != origin
        return Tally(taken_up, known, wrong, questions, self.notices)

    def _start_host(self, now: float) -> None:
        self._started += 1
        name = f"host-{self._started}"
        record = HostRecord(name, f"{name}/1", "", name, "a", True, 0)
        lags = {
            host.record.name: now + self._rng.uniform(0.0, VIEW_LAG_SECONDS)
            for host in self._hosts
        }
        self._hosts.append(SimulatedHost(record, now, StreamOrigins(), lags))

    def _disturb(self, kill_share: float) -> None:
        """Kill some hosts, each replaced at once, and cut some off for a while."""
        for host in self._live():
            chance = self._rng.random()
            if chance < kill_share * STEP_SECONDS:
                host.killed_at = self._now
                self._start_host(self._now)
            elif chance > 1 - kill_share * STEP_SECONDS:
                host.cut_until = self._now + 2.0

    def _live(self) -> list[SimulatedHost]:
        return [host for host in self._hosts if host.killed_at > self._now]

    def _view(self, viewer: SimulatedHost) -> list[SimulatedHost]:
        """Return the hosts that one believes ready, some of which are gone."""
        return [
            host
            for host in self._hosts
            if host is not viewer
            and self._now < host.killed_at + FORGET_SECONDS
            and self._now >= host.seen_after.get(viewer.record.name, host.started_at)
        ]

    def _reaches(self, one: SimulatedHost, other: SimulatedHost) -> bool:
        is_cut = max(one.cut_until, other.cut_until) > self._now
        return not is_cut and other.killed_at > self._now

    def _ranked(self, viewer: SimulatedHost, key: str) -> list[SimulatedHost]:
        """Return the hosts that answer by rank; the others are known as silent."""
        by_name = {host.record.name: host for host in self._view(viewer)}
        ranked = rank_holders(ORGANISATION, [host.record for host in by_name.values()])
        return [
            by_name[record.name]
            for record in ranked
            if self._reaches(viewer, by_name[record.name])
        ]

    def _begin(self) -> tuple[float, str, StreamOrigin]:
        host = self._rng.choice(self._live())
        key = stream_key(ORGANISATION, f"{self._rng.getrandbits(64):x}")
        origin = StreamOrigin("engine", self._rng.choice(("v1", "v2", "v3")))
        host.origins.record(key, origin, self._now)
        for holder in self._ranked(host, key)[:TOLD_HOSTS]:
            self.notices += 1
            if self._rng.random() >= self._lost_notices:
                holder.origins.record(key, origin, self._now)
        return self._now + self._rng.uniform(0.1, 12.0), key, origin

    def _take_up(self, key: str) -> tuple[StreamOrigin | None, int]:
        host = self._rng.choice(self._live())
        found = host.origins.find(key, self._now)
        asked = 0
        for holder in self._ranked(host, key)[:ASKED_HOSTS]:
            if found is not None:
                break
            asked += 1
            found = holder.origins.find(key, self._now)
        return found, asked
