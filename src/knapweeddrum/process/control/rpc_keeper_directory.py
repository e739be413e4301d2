"""Connections to the keepers of single hosts."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from knapweeddrum.process.control.keeper_directory import KeeperDirectory
from knapweeddrum.rpc.caller import Caller
from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.rpc.rpc_client import RpcClient


class RpcKeeperDirectory(KeeperDirectory):
    """Keeps one connection for each address and port."""

    def __init__(self, identity: FleetIdentity) -> None:
        self._identity = identity
        self._clients: dict[str, RpcClient] = {}

    def caller(self, address: str, port: int) -> Caller:
        """Return the caller of the keeper at this IP address and port."""
        key = f"{address}:{port}"
        if key not in self._clients:
            self._clients[key] = RpcClient(self._identity, address, port)
        return self._clients[key]

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()


@contextlib.contextmanager
def keeper_directory(identity: FleetIdentity) -> Iterator[RpcKeeperDirectory]:
    """Keep the connections while the context is open."""
    directory = RpcKeeperDirectory(identity)
    try:
        yield directory
    finally:
        directory.close()
