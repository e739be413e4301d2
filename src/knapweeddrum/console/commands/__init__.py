"""The commands of ``knapweedctl``, one class each."""

from __future__ import annotations
