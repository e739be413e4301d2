"""Claims to execute requests that are not idempotent."""

from __future__ import annotations
