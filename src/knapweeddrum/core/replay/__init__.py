"""Replay of log streams into ledgers, and checkpoints of the resulting state."""

from __future__ import annotations
