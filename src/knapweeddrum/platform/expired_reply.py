"""JSON body of the log's reply if the requested records have expired."""

from __future__ import annotations

from typing import Annotated

import msgspec


class ExpiredReply(msgspec.Struct, frozen=True):
    """``first`` is the oldest offset that is still kept."""

    first: Annotated[int, msgspec.Meta(ge=0)]
