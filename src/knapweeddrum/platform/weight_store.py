"""Interface of the platform's rate-limited weight store."""

from __future__ import annotations

import abc


class WeightStore(abc.ABC):
    """Where engines fetch model weights from; admits a limited rate of fetches."""

    @abc.abstractmethod
    async def reserve_fetch(self, model: str, version: str) -> float:
        """Reserve a fetch; return 0.0 when admitted, else seconds to wait.

        Raises PlatformError.
        """
