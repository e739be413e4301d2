from __future__ import annotations

from knapweeddrum.core.directory.host_directory import HostDirectory
from knapweeddrum.core.directory.host_record import HostRecord
from knapweeddrum.core.directory.overloaded_hosts import overloaded_hosts


def host(name: str, delay_ms: int) -> HostRecord:
    return HostRecord(
        name, f"{name}/1", f"{name}:80", f"{name}:90", "a", True, 1, delay_ms
    )


def test_host_far_behind_the_others_is_overloaded():
    """The one host that all callers of a large organisation use."""
    hosts = [host("busy", 300), *(host(f"h{number}", 9) for number in range(6))]
    assert overloaded_hosts(hosts) == {"busy"}


def test_slow_store_makes_no_host_overloaded():
    """All hosts see its late replies."""
    assert overloaded_hosts([host(f"h{n}", 200 + n) for n in range(7)]) == set()


def test_few_hosts_are_left_out_at_one_time():
    """The others have to take their load."""
    hosts = [host(f"h{number}", 900 if number < 20 else 10) for number in range(62)]
    assert len(overloaded_hosts(hosts)) == 15
    assert overloaded_hosts([host("a", 900), host("b", 9)]) == set()


def test_directory_leaves_out_overloaded_hosts_and_keeps_them_as_peers():
    """Callers are sent elsewhere; the host still serves and lends."""
    directory = HostDirectory("own")
    directory.store_answered(0.0)
    for number in range(6):
        record = host(f"h{number}", 400 if number == 3 else 8)
        directory.apply_heartbeat(record.name, number, record)
    directory.apply_heartbeat("own", 9, host("own", 8))
    assert "h3:80" not in directory.addresses("own:80")
    assert "own:80" in directory.addresses("own:80")
    assert len(directory.ready_hosts()) == 6


def test_overloaded_host_leaves_itself_out():
    """Its own answers are those that its callers ask for first."""
    directory = HostDirectory("own")
    directory.store_answered(0.0)
    for number in range(6):
        directory.apply_heartbeat(f"h{number}", number, host(f"h{number}", 8))
    directory.apply_heartbeat("own", 9, host("own", 400))
    assert "own:80" not in directory.addresses("own:80")
