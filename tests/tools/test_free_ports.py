from __future__ import annotations

import os

from tools import free_ports
from tools.free_ports import PORT_SLICE_VARIABLE, PortSlice

PORTS_OF_A_HOST = 5


def test_port_is_not_given_twice_before_it_is_used():
    """Processes that start together would else be given the same address."""
    free_ports._given.clear()
    slice_size = PortSlice.parse(os.environ.get(PORT_SLICE_VARIABLE, "0/1")).size
    hosts = slice_size // 4 // PORTS_OF_A_HOST
    ports = [
        port for _ in range(hosts) for port in free_ports.free_ports(PORTS_OF_A_HOST)
    ]
    assert len(set(ports)) == len(ports)
