from __future__ import annotations

from knapweeddrum.core.load.connection_account import ConnectionAccount
from knapweeddrum.core.load.held_connection import HeldConnection
from knapweeddrum.core.load.host_limits import (
    PROCESS_BYTES,
    SOCKET_BYTES,
    HostLimits,
)
from knapweeddrum.value.connection_phase import ConnectionPhase

LIMIT = 10
PHASES_BY_LOSS = (
    ConnectionPhase.ENDING,
    ConnectionPhase.WAITING,
    ConnectionPhase.RECEIVING,
)


def test_connections_are_ended_in_order_of_what_is_lost():
    """Guards against ending a request that comes in while silent clients stay."""
    account = ConnectionAccount(LIMIT)
    ended: list[str] = []
    for number in range(LIMIT - 1):
        phase = PHASES_BY_LOSS[number % 3]
        conn = HeldConnection(
            phase.value, lambda phase=phase: ended.append(phase.value), 0.0
        )
        conn.enter(phase, 0.0)
        account.add(conn)
    for _ in range(LIMIT - 1):
        assert account.admit(5.0)
    assert ended == ["ending"] * 3 + ["waiting"] * 3 + ["receiving"] * 3
    assert not account.admit(5.0)


def test_full_account_refuses_though_others_are_being_ended():
    """Guards against more descriptors than there are, until ended ones are closed."""
    account = ConnectionAccount(LIMIT)
    for _ in range(LIMIT):
        account.add(HeldConnection("silent", lambda: None, 0.0))
    assert not account.admit(5.0)
    assert account.refused == 1


def test_connection_that_sends_ahead_is_ended_before_a_newcomer_is_refused():
    """Guards against few clients that keep all connections busy with requests."""
    account = ConnectionAccount(LIMIT)
    ended: list[str] = []
    for number in range(LIMIT - 1):
        conn = HeldConnection("", lambda: ended.append("ahead"), 0.0)
        account.add(conn)
        for _ in range(2 if number == 0 else 1):
            conn.enter(ConnectionPhase.RECEIVING, 0.0)
            conn.enter(ConnectionPhase.SERVED, 0.0)
    assert account.admit(0.1)
    assert ended == ["ahead"]
    assert not account.admit(0.1)


def test_served_connections_stay():
    """Guards against ending requests that may have run."""
    account = ConnectionAccount(LIMIT)
    for _ in range(LIMIT - 1):
        conn = HeldConnection("served", lambda: None, 0.0)
        conn.enter(ConnectionPhase.SERVED, 0.0)
        account.add(conn)
    assert not account.admit(60.0)


def test_parts_stay_within_what_the_settings_name():
    """Guards against parts that add up to more than the host has."""
    for megabytes, descriptors in ((128, 320), (200, 512), (552, 4096)):
        memory = megabytes * 1_000_000
        limits = HostLimits.of(memory, descriptors, sizes_buffers=True)
        sockets = limits.callers + limits.pages + limits.outgoing
        assert sockets <= descriptors - 200
        assert limits.callers < limits.outgoing
        clients = limits.callers + limits.pages
        buffers = clients * 2 * SOCKET_BYTES
        assert PROCESS_BYTES + limits.account_bytes + buffers <= memory
