"""Entry addresses for a caller."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.entry_host import EntryHost


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Hosts in order of preference; ``lifetime`` is in seconds."""

    hosts: tuple[EntryHost, ...]
    lifetime: float
