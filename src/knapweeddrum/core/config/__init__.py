"""Ledger of versioned configuration resources."""

from __future__ import annotations
