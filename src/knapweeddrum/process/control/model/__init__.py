"""Models that validate resources and requests at the operators' border."""

from __future__ import annotations
