"""An invalid field of a request."""

from __future__ import annotations

import msgspec


class FieldError(msgspec.Struct, frozen=True):
    """The field's path, its value as text, and a description of allowed values."""

    field: str
    value: str
    allowed: str
