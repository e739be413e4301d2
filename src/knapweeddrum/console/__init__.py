"""Entry points of the binaries and the operators' commands."""

from __future__ import annotations
