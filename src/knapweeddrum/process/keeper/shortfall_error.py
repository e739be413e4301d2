"""A draw that can't be fulfilled."""

from __future__ import annotations

from knapweeddrum.message.call.shortfall import Shortfall
from knapweeddrum.process.keeper.exceptions import KeeperError


class ShortfallError(KeeperError):
    """Fewer tokens are available now than the minimum of the draw."""

    def __init__(self, shortfall: Shortfall) -> None:
        super().__init__(f"{shortfall.budget}: too few tokens")
        self.shortfall = shortfall
