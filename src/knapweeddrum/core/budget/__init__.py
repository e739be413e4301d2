"""Prepaid budgets: the ledger, allowances, witnesses and allocation policies."""

from __future__ import annotations
