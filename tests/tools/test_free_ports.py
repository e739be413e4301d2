from __future__ import annotations

from tools.free_ports import free_ports


def test_port_is_not_given_twice_before_it_is_used():
    """Processes that start together would else be given the same address."""
    ports = [port for _ in range(600) for port in free_ports(5)]
    assert len(set(ports)) == len(ports)
