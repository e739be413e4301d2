"""Models that validate the resources and requests of operators."""

from __future__ import annotations
