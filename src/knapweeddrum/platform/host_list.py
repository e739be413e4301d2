"""Interface of the platform's lagging host list."""

from __future__ import annotations

import abc

from knapweeddrum.platform.listed_host import ListedHost


class HostList(abc.ABC):
    """The hosts that the platform takes for live; the list lags."""

    @abc.abstractmethod
    async def read(self) -> tuple[ListedHost, ...]:
        """Return the list; raises PlatformError."""
