"""Admission, priorities and fair sharing."""

from __future__ import annotations
