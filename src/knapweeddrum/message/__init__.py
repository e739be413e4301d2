"""Typed messages between processes and records on the log."""

from __future__ import annotations
