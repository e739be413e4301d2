"""One path of the resource API."""

from __future__ import annotations

import dataclasses
import re

from knapweeddrum.process.control.handler.handler import Handler


@dataclasses.dataclass(frozen=True, slots=True)
class PathRoute:
    """Method, pattern of the complete path, and handler, which gets the groups."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler
