"""Entry hosts that a caller is advised to use."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.entry_host import EntryHost


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Hosts in order of preference; the advice is valid for ``lifetime`` seconds."""

    hosts: tuple[EntryHost, ...]
    lifetime: float
