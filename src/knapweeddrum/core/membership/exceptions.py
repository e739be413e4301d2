"""Errors of the membership protocol."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of the membership errors."""
