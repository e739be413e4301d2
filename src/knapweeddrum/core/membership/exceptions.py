"""Errors of the membership decisions."""

from __future__ import annotations


class MembershipError(Exception):
    """A membership decision was asked for something that can't be."""
