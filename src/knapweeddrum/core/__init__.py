"""Decisions without input or output: no sockets, no clock, no global randomness."""

from __future__ import annotations
