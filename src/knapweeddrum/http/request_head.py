"""The head of an HTTP request in bytes."""

from __future__ import annotations

import dataclasses

from knapweeddrum.http.request import Request


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers as they are sent."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]

    @classmethod
    def encode(cls, req: Request) -> RequestHead:
        """Return the head; raises ValueError for what HTTP can't carry."""
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
