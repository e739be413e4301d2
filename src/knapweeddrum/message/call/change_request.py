"""An operator's change of a resource."""

from __future__ import annotations

import msgspec


class ChangeRequest(msgspec.Struct, frozen=True):
    """A change to append to the log; the fields are those of the fact ConfigChange."""

    change_id: str
    resource_kind: str
    name: str
    base_version: int
    author: str
    body: bytes = b""
    deleted: bool = False
