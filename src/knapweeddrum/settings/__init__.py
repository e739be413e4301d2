"""Validated models of the settings files."""

from __future__ import annotations
