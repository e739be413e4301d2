"""Interface of the platform's host list."""

from __future__ import annotations

import abc

from knapweeddrum.platform.listed_host import ListedHost


class HostList(abc.ABC):
    """The hosts that the platform considers live; changes show with a delay."""

    @abc.abstractmethod
    async def read(self) -> tuple[ListedHost, ...]:
        """Return the list; raises PlatformError."""
