"""Metering of the tokens that a request consumes, for its settlement."""

from __future__ import annotations
