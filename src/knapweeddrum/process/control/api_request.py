"""A request to the resource API."""

from __future__ import annotations

import dataclasses
import urllib.parse

from knapweeddrum.process.control.header import Header


@dataclasses.dataclass(frozen=True, slots=True)
class ApiRequest:
    """An HTTP request with its complete body; ``path`` is percent-decoded."""

    method: str
    path: str
    query: str = ""
    headers: tuple[Header, ...] = ()
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return the first value of a header (lower-case name) or an empty string."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return ""

    def parameter(self, name: str) -> str:
        """Return the last value of a query parameter, or an empty string."""
        pairs = urllib.parse.parse_qsl(self.query, keep_blank_values=True)
        return dict(pairs).get(name, "")
