"""Base class of the facts on the log."""

from __future__ import annotations

import msgspec


class Fact(msgspec.Struct, frozen=True, tag_field="kind"):
    """One entry of a log record; its class name is its tag on the wire."""
