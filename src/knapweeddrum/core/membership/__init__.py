"""Membership of the fleet, drains, and the entry advice for callers."""

from __future__ import annotations
