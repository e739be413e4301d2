"""Entry process: serves callers, the directory and other hosts in one event loop."""

from __future__ import annotations
