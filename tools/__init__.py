"""Programs for developers: test runner, layer check, demo and measurements."""

from __future__ import annotations
