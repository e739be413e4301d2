"""A demand that can't be met."""

from __future__ import annotations

from knapweeddrum.message.call.shortfall import Shortfall
from knapweeddrum.process.keeper.exceptions import KeeperError


class ShortfallError(KeeperError):
    """Fewer tokens can be had now than the demand's minimum."""

    def __init__(self, shortfall: Shortfall) -> None:
        super().__init__(f"{shortfall.budget}: too few tokens")
        self.shortfall = shortfall
