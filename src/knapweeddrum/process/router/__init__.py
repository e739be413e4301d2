"""The router: callers' HTTP, admission, routing, streams to endpoints."""

from __future__ import annotations
