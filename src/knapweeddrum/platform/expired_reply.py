"""Body of the log's reply when the asked records have expired."""

from __future__ import annotations

from typing import Annotated

import msgspec


class ExpiredReply(msgspec.Struct, frozen=True):
    """Oldest offset that is still kept."""

    first: Annotated[int, msgspec.Meta(ge=0)]
