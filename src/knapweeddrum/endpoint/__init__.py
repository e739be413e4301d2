"""Clients for model engines and plain services."""

from __future__ import annotations
