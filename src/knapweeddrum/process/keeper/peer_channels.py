"""Connections to the keepers of other hosts."""

from __future__ import annotations

from collections.abc import Callable

from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.rpc.rpc_caller import RpcCaller

CallerFactory = Callable[[str, int], RpcCaller]


class PeerChannels:
    """One connection for each keeper address, created when first used."""

    def __init__(self, connect: CallerFactory) -> None:
        self._connect = connect
        self._callers: dict[tuple[str, int], RpcCaller] = {}

    def to(self, host: EntryHost) -> RpcCaller:
        """Return the connection to the keeper of a host."""
        return self.at(host.address, host.keeper_port)

    def at(self, address: str, port: int) -> RpcCaller:
        """Return the connection to a keeper's address."""
        key = (address, port)
        caller = self._callers.get(key)
        if caller is None:
            caller = self._connect(address, port)
            self._callers[key] = caller
        return caller
