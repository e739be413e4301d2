"""The encoded head of an HTTP request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.http.request import Request


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers in bytes, as they are sent."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]

    @classmethod
    def encode(cls, req: Request) -> RequestHead:
        """Encode the head; raises ValueError if HTTP can't represent it."""
        if not req.path.startswith("/"):
            raise ValueError(f"path {req.path!r} doesn't start with a slash")
        return cls(
            method=req.method.encode("ascii"),
            target=req.path.encode("ascii"),
            headers=[
                (name.encode("ascii"), value.encode("latin-1"))
                for name, value in req.headers
            ],
        )
