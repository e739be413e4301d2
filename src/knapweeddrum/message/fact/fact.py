"""Base class of the facts on the log."""

from __future__ import annotations

import msgspec


class Fact(msgspec.Struct, frozen=True, tag_field="kind"):
    """An immutable entry of a log record.

    The encoded fact has the tag of its class in the field ``kind``.
    """
