"""Callers of the keepers of other hosts."""

from __future__ import annotations

import abc

from knapweeddrum.rpc.caller import Caller


class KeeperDirectory(abc.ABC):
    """Opens callers of single keepers, and keeps them for reuse."""

    @abc.abstractmethod
    def caller(self, address: str, port: int) -> Caller:
        """Return the caller of the keeper at this IP address and port."""
