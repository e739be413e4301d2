from __future__ import annotations

import random

from knapweeddrum.core.membership.member_table import MemberTable
from knapweeddrum.message.call.heartbeat import Heartbeat


def new_heartbeat(
    host: str,
    sequence: int = 1,
    incarnation: str = "",
    data_centre: str = "xela-norte",
    draining: bool = False,
) -> Heartbeat:
    """Return a heartbeat whose configuration offset equals its sequence."""
    return Heartbeat(
        host=host,
        data_centre=data_centre,
        incarnation=incarnation or f"{host}/keeper/000000000001-0",
        address="127.0.0.1",
        router_port=8080,
        keeper_port=8081,
        control_port=8082,
        sequence=sequence,
        draining=draining,
        config_offset=sequence,
    )


def new_table(host: str, seed: int = 0) -> MemberTable:
    """Return the member table of a host that has received no heartbeats."""
    return MemberTable(new_heartbeat(host), random.Random(f"{host}/{seed}"))
