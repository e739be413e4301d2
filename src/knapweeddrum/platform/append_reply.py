"""JSON body of the log's reply to an append."""

from __future__ import annotations

from typing import Annotated

import msgspec


class AppendReply(msgspec.Struct, frozen=True):
    """Offset of the appended record."""

    offset: Annotated[int, msgspec.Meta(ge=0)]
