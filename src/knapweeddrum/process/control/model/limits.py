"""Limits that several models share."""

from __future__ import annotations

INTEGER_LIMIT = 2**53
"""Largest integer that every reader of JSON takes unchanged."""
