"""The commands of ``knapweedctl``, a class each."""

from __future__ import annotations
