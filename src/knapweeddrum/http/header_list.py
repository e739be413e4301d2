"""HTTP headers in the format of h11: pairs of name and value in bytes."""

from __future__ import annotations

from collections.abc import Iterable

Header = tuple[bytes, bytes]

HEADER_OVERHEAD_BYTES = len(b": \r\n")

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to one connection only and are never forwarded."""


class HeaderList:
    """Headers in their original spelling; lookups ignore case."""

    def __init__(self, raw: Iterable[Header]) -> None:
        self.raw: list[Header] = list(raw)
        self._by_name: dict[bytes, bytes] = {}
        for name, value in self.raw:
            self._by_name.setdefault(name.lower(), value)

    @property
    def size(self) -> int:
        """Return the size of the encoded headers in bytes."""
        return sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in self.raw
        )

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return self._by_name.get(name)

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header in order; ``name`` is in lower case."""
        return [value for key, value in self.raw if key.lower() == name]

    def text(self, name: bytes) -> str:
        """Return the first value of a header as text, empty if it is absent."""
        return self._by_name.get(name, b"").decode("latin-1")

    def end_to_end(self, without: frozenset[bytes]) -> list[Header]:
        """Return the headers to forward: neither hop-by-hop nor in ``without``.

        ``without`` holds names in lower case.
        """
        dropped = HOP_BY_HOP_HEADERS | without | self._listed_in_connection_header()
        return [
            (name, value) for name, value in self.raw if name.lower() not in dropped
        ]

    def _listed_in_connection_header(self) -> frozenset[bytes]:
        value = self._by_name.get(b"connection")
        if value is None:
            return frozenset()
        return frozenset(token.strip().lower() for token in value.split(b","))
