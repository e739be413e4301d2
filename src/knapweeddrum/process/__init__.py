"""The tasks of each binary and the composition root."""

from __future__ import annotations
