"""Keepers and routers of a fleet in simulated time, without sockets."""

from __future__ import annotations
