"""Numbered log events and counters."""

from __future__ import annotations
