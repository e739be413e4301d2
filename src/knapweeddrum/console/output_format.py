"""Formats of the commands' output."""

from __future__ import annotations

import enum


class OutputFormat(enum.StrEnum):
    """``table`` for people, ``json`` for programs: one document a line."""

    TABLE = "table"
    JSON = "json"
