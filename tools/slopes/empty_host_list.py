"""A host list without hosts."""

from __future__ import annotations

from knapweeddrum.platform.host_list import HostList
from knapweeddrum.platform.listed_host import ListedHost


class EmptyHostList(HostList):
    """Has no hosts."""

    async def read(self) -> tuple[ListedHost, ...]:
        """Return an empty list."""
        return ()
