"""Which hosts are alive, and the entry advice for callers."""

from __future__ import annotations
