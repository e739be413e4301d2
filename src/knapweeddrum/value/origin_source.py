"""From where a host knows what began a stream."""

from __future__ import annotations

import enum


class OriginSource(enum.StrEnum):
    """A field of log events and part of the name of a counter."""

    OWN = "own"
    """This host began the stream or was told of it."""
    HOST = "host"
    """Another host knew."""
    SOLE_VERSION = "sole_version"
    """No other version can have begun it."""
    NONE = "none"
