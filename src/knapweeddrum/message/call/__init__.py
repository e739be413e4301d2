"""Requests and replies of the calls between processes."""

from __future__ import annotations
