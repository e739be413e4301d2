from __future__ import annotations

import random

from knapweeddrum.core.load.held_connection import HeldConnection
from knapweeddrum.core.load.memory_account import MemoryAccount
from knapweeddrum.value.connection_phase import ConnectionPhase

LIMIT = 1_000_000
LARGE = 300_000


class Crowd:
    """Connections at one account, with the names of those that were shed."""

    def __init__(self) -> None:
        self.account = MemoryAccount(LIMIT)
        self.shed: list[str] = []

    def add(self, name: str, phase: ConnectionPhase, now: float) -> HeldConnection:
        conn = HeldConnection(name, lambda: self.shed.append(name), now)
        conn.enter(phase, now)
        return conn


def test_largest_and_slowest_request_is_shed_for_another():
    """Guards against refusing whoever comes while stalled bodies stay."""
    crowd = Crowd()
    old = crowd.add("old", ConnectionPhase.RECEIVING, 0.0)
    young = crowd.add("young", ConnectionPhase.RECEIVING, 9.0)
    assert crowd.account.take(old, LARGE, 1.0)
    assert crowd.account.take(young, LARGE, 9.5)
    newcomer = crowd.add("newcomer", ConnectionPhase.RECEIVING, 10.0)
    assert crowd.account.take(newcomer, LARGE, 10.1)
    assert crowd.shed == ["old"]
    assert not crowd.account.take(old, 1, 10.2)


def test_request_that_is_served_is_never_shed():
    """Guards against taking memory from requests that may have run."""
    crowd = Crowd()
    for number in range(2):
        served = crowd.add(f"{number}", ConnectionPhase.SERVED, 0.0)
        assert crowd.account.take(served, LARGE, 0.0)
    asker = crowd.add("asker", ConnectionPhase.RECEIVING, 50.0)
    assert not crowd.account.take(asker, LARGE, 60.0)
    assert crowd.shed == []


def test_answer_is_shed_only_when_its_peer_is_slow():
    """Guards against cutting answers that are being read."""
    crowd = Crowd()
    sending = crowd.add("sending", ConnectionPhase.SENDING, 10.0)
    assert crowd.account.take(sending, 2 * LARGE, 10.0)
    asker = crowd.add("asker", ConnectionPhase.SERVED, 10.0)
    assert not crowd.account.take(asker, LARGE, 10.9)
    assert crowd.account.take(asker, LARGE, 11.0)
    assert crowd.shed == ["sending"]


def test_small_requests_pass_beside_large_ones():
    """Guards against large bodies that keep ordinary requests out."""
    crowd = Crowd()
    while crowd.account.take(
        crowd.add("large", ConnectionPhase.SERVED, 0.0), LARGE, 0.0
    ):
        pass
    small = crowd.add("small", ConnectionPhase.RECEIVING, 0.0)
    assert crowd.account.take(small, 100_000, 0.0)


def test_sum_stays_within_the_limit_in_any_order():
    """Guards against bytes that are counted twice or never given back."""
    for seed in range(20):
        rng = random.Random(seed)
        crowd = Crowd()
        conns: list[HeldConnection] = []
        for step in range(400):
            now = step / 10
            if rng.random() < 0.2 or not conns:
                phase = rng.choice(list(ConnectionPhase))
                conns.append(crowd.add(str(step), phase, now))
            conn = rng.choice(conns)
            if rng.random() < 0.3:
                crowd.account.give_back(conn, rng.randrange(LARGE))
            else:
                crowd.account.take(conn, rng.randrange(LARGE), now)
            held = sum(conn.held for conn in conns)
            assert crowd.account.used == held <= LIMIT, seed
