"""Clients for the platform's log, host list and weight store."""

from __future__ import annotations
