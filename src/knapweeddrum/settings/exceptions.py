"""Errors of the settings layer."""

from __future__ import annotations


class SettingsError(Exception):
    """A settings file that can't be used; the message names file, field and value."""
