"""Escrow of prepaid tokens: each host claims tokens before it spends them."""

from __future__ import annotations
