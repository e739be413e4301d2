"""Cost slopes of the fleet's parts, for docs/CAPACITY.md."""

from __future__ import annotations
