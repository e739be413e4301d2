"""Simulated membership of one keeper."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from knapweeddrum.message.call.entry_host import EntryHost
from tools.budget_model.host import HOSTS, Host
from tools.budget_model.network import Network

HOST_FAILURE_SECONDS = 16.0
"""Time without contact after which a host counts as failed, as in the gossip model."""

KEEPER_PORT = 9000


class FakeMembership:
    """Stands in for ``MembershipTask``; derives liveness from the simulated network."""

    def __init__(
        self,
        host: Host,
        incarnation: str,
        network: Network,
        incarnations: Mapping[Host, str],
        clock: Callable[[], float],
    ) -> None:
        self.draining = False
        self._host = host
        self._incarnation = incarnation
        self._network = network
        self._incarnations = incarnations
        self._clock = clock
        self._known: dict[Host, str] = {}

    def hosts(self) -> tuple[EntryHost, ...]:
        """Return all hosts, this one first."""
        others = [host for host in HOSTS if host != self._host]
        return (self._entry(self._host), *map(self._entry, others))

    def live_peers(self) -> tuple[EntryHost, ...]:
        """Return the other hosts that have not failed."""
        return tuple(host for host in self.hosts()[1:] if host.alive)

    def live_incarnations(self) -> frozenset[str]:
        """Return the incarnations of the keepers that have not failed."""
        live = {peer.incarnation for peer in self.live_peers()}
        return frozenset({self._incarnation, *live})

    def _entry(self, host: Host) -> EntryHost:
        return EntryHost(
            host=host.name,
            data_centre=host.data_centre,
            address=host.name,
            router_port=0,
            keeper_port=KEEPER_PORT + host.index,
            control_port=0,
            draining=False,
            alive=host == self._host or self._is_alive(host),
            config_offset=0,
            incarnation=self._incarnation_of(host),
        )

    def _is_alive(self, host: Host) -> bool:
        since = self._network.lost_since(self._host, host)
        return since is None or self._clock() - since < HOST_FAILURE_SECONDS

    def _incarnation_of(self, host: Host) -> str:
        if host == self._host:
            return self._incarnation
        if self._network.lost_since(self._host, host) is None:
            self._known[host] = self._incarnations.get(host, "")
        return self._known.get(host, "")
