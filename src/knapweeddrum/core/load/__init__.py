"""How busy a process is."""

from __future__ import annotations
