"""Carrying out of the orders to engines."""

from __future__ import annotations
