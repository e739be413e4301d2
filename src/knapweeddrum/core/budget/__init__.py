"""Prepaid budgets: the ledger fold, allowances and allocation policies."""

from __future__ import annotations
