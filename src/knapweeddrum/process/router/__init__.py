"""The router process: serves callers over HTTP and forwards to endpoints."""

from __future__ import annotations
