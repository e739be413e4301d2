"""Adapter of the platform: clients of its log, host list and store, and codecs."""

from __future__ import annotations
