"""Metering of one request and its settlement."""

from __future__ import annotations
