"""Readiness path, and path and reply of the directory of caller addresses."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

READY_PATH = b"/-/ready"
DIRECTORY_PATH = b"/-/resolve"


class _DirectoryReply(msgspec.Struct, frozen=True, rename="camel"):
    addresses: Sequence[str]
    ttl_s: float


def encode_directory_reply(addresses: Sequence[str], lifetime: float) -> bytes:
    """Return the directory's JSON reply: the addresses that callers connect to.

    Callers may cache the reply for ``lifetime`` seconds.
    """
    return msgspec.json.encode(_DirectoryReply(addresses, lifetime))
