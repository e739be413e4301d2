"""Which hosts callers are sent to."""

from __future__ import annotations
