"""A request as a stand-in receives it."""

from __future__ import annotations

import dataclasses
import urllib.parse


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete HTTP request; ``client`` is the peer's address.

    Header names are in lower case. ``path`` is percent-decoded, ``raw_path`` is not;
    neither includes the query.
    """

    method: str
    path: str
    raw_path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: tuple[str, int]

    @property
    def segments(self) -> tuple[str, ...]:
        """Return the decoded segments of the path."""
        parts = self.raw_path.strip("/").split("/")
        return tuple(urllib.parse.unquote(part) for part in parts)
