"""Errors of the settings layer."""

from __future__ import annotations


class SettingsError(Exception):
    """A settings file is invalid; the message names the file, field and value."""
