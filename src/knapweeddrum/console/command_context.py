"""Objects and options that every command uses."""

from __future__ import annotations

import dataclasses

from knapweeddrum.console.control_client import ControlClient
from knapweeddrum.console.printer import Printer


@dataclasses.dataclass(frozen=True, slots=True)
class CommandContext:
    """Client of the resource API, output, and the author recorded with changes.

    ``timeout`` limits each attempt of a request, in seconds.
    """

    client: ControlClient
    printer: Printer
    author: str
    timeout: float
