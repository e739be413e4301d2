"""Claims on requests that are not idempotent."""

from __future__ import annotations
