"""Discrete-event simulation of routing, admission, retries and crash handling."""

from __future__ import annotations
