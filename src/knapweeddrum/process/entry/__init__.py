"""Entry process: handles requests of callers and other hosts in one event loop."""

from __future__ import annotations
