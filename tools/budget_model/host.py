"""The simulated entry hosts."""

from __future__ import annotations

import dataclasses

HOST_COUNT = 7
DATA_CENTRE_COUNT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """Name, address and data centre of an entry host."""

    index: int

    @property
    def name(self) -> str:
        """Return the host's name."""
        return f"host-{self.index}"

    @property
    def data_centre(self) -> str:
        """Return the host's data centre; hosts are assigned round-robin."""
        return f"dc-{self.index % DATA_CENTRE_COUNT}"


HOSTS = tuple(Host(index) for index in range(HOST_COUNT))
