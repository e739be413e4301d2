"""Admission control by priority and fair share; recognition of crashing requests."""

from __future__ import annotations
