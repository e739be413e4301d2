"""Limits that several models share."""

from __future__ import annotations

INTEGER_LIMIT = 2**53
"""Largest integer that JSON parsers with 64-bit floats read exactly."""
