"""Errors of the message layer."""

from __future__ import annotations


class MessageError(Exception):
    """A message that can't be decoded."""
