"""Description of a remote method."""

from __future__ import annotations

import dataclasses
from typing import Generic, TypeVar

import msgspec

RequestT = TypeVar("RequestT", bound=msgspec.Struct)
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


@dataclasses.dataclass(frozen=True, slots=True)
class Method(Generic[RequestT, ReplyT]):
    """A unary method: gRPC path and the types of its request and reply."""

    path: str
    request_type: type[RequestT]
    reply_type: type[ReplyT]
