"""JSON body of the reply to a read of the platform's host list."""

from __future__ import annotations

import msgspec

from knapweeddrum.platform.listed_host import ListedHost


class HostBody(msgspec.Struct, frozen=True):
    """A listed host."""

    name: str
    address: str
    leaving: bool = False


class HostsReply(msgspec.Struct, frozen=True):
    """All listed hosts."""

    hosts: tuple[HostBody, ...]

    def listed_hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts in the order of the reply."""
        return tuple(
            ListedHost(name=host.name, address=host.address, leaving=host.leaving)
            for host in self.hosts
        )
