"""A router fleet for prepaid token budgets."""

from __future__ import annotations
