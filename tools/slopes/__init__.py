"""Measurements of how costs grow with load or size, for docs/CAPACITY.md."""

from __future__ import annotations
