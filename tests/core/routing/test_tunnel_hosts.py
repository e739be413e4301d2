from __future__ import annotations

import collections
import dataclasses
import random

import nose2.tools

from knapweeddrum.core.routing.tunnel_hosts import AVOIDED_SECONDS, TunnelHosts
from knapweeddrum.value.host_record import HostRecord


def host(number: int, data_centre: str = "a", capacity: float = 50.0) -> HostRecord:
    """Return a ready host."""
    return HostRecord(
        name=f"host-{number}",
        incarnation=f"i-{number}",
        address="10.0.0.1:1",
        peer_address=f"10.0.0.{number}:2",
        data_centre=data_centre,
        ready=True,
        beat=1,
        capacity=capacity,
    )


def order(hosts: TunnelHosts, others: list[HostRecord], now: float = 0.0) -> list[str]:
    """Return the names of the hosts to ask for the service ``stock``."""
    return [other.name for other in hosts.order(others, "stock", "a", now)]


@nose2.tools.params(7, 62, 195, 370)
def test_cut_hosts_of_a_large_fleet_do_not_all_ask_the_same_host(count: int):
    """A tenth of the hosts is cut off; each opens ten connections through others."""
    others = [host(number) for number in range(count)]
    asked: collections.Counter[str] = collections.Counter()
    cut = max(1, count // 10)
    for seed in range(cut):
        hosts = TunnelHosts(random.Random(seed))
        for _ in range(10):
            asked[order(hosts, others)[0]] += 1
    mean = cut * 10 / count
    assert max(asked.values()) <= mean + 6 * mean**0.5 + 1


def test_weak_hosts_are_asked_less():
    """A host of a tenth of the capacity carries a tenth of the connections."""
    others = [host(0, capacity=5.0), host(1, capacity=50.0)]
    hosts = TunnelHosts(random.Random(1))
    first = collections.Counter(order(hosts, others)[0] for _ in range(2000))
    assert 0.06 < first["host-0"] / 2000 < 0.13


def test_hosts_of_the_own_data_centre_are_asked_first():
    """Bytes between data centres cost."""
    others = [host(0, "b"), host(1, "a"), host(2, "c")]
    hosts = TunnelHosts(random.Random(1))
    assert {order(hosts, others)[0] for _ in range(20)} == {"host-1"}


def test_hosts_that_can_not_help_are_not_asked():
    """That holds for hosts that are cut off, or whose link is full."""
    others = [
        dataclasses.replace(host(0), cut_off=True),
        dataclasses.replace(host(1), sheds=True),
        host(2),
    ]
    assert order(TunnelHosts(random.Random(1)), others) == ["host-2"]


def test_host_that_refused_is_left_out_for_that_service_for_a_while():
    """It may have lost its paths to one service only."""
    hosts = TunnelHosts(random.Random(1))
    hosts.avoid(host(0), "stock", 1.0)
    assert order(hosts, [host(0)], 1.1) == []
    assert hosts.order([host(0)], "engine", "a", 1.1) == [host(0)]
    assert order(hosts, [host(0)], 1.1 + AVOIDED_SECONDS) == ["host-0"]


def test_host_that_did_not_answer_is_left_out_for_all_services():
    """It may be frozen."""
    hosts = TunnelHosts(random.Random(1))
    hosts.avoid(host(0), None, 1.0)
    assert order(hosts, [host(0)], 1.1) == []
    assert order(hosts, [host(0)], 1.1 + AVOIDED_SECONDS) == ["host-0"]
