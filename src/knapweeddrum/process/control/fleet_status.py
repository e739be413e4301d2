"""How far the entry hosts have applied the configuration."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.entry_reply import EntryReply
from knapweeddrum.process.control.host_status import HostStatus


class FleetStatus(msgspec.Struct, frozen=True):
    """``offset`` is the log offset of the newest known configuration; ``converged``
    is true when every live host has applied it.
    """

    offset: int
    converged: bool
    hosts: tuple[HostStatus, ...]


def fleet_status(reply: EntryReply, own_offset: int) -> FleetStatus:
    """Return the status from a keeper's hosts and the offset of the local copy."""
    offsets = [host.config_offset for host in reply.hosts]
    newest = max([own_offset, reply.offset, *offsets])
    hosts = tuple(
        HostStatus(
            host=host.host,
            data_centre=host.data_centre,
            address=host.address,
            alive=host.alive,
            draining=host.draining,
            config_offset=host.config_offset,
            lag=newest - host.config_offset,
            incarnation=host.incarnation,
        )
        for host in sorted(reply.hosts, key=lambda host: host.host)
    )
    converged = all(host.lag == 0 for host in hosts if host.alive)
    return FleetStatus(offset=newest, converged=converged, hosts=hosts)
