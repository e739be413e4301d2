"""Calls between the processes: codec, authentication, client and server."""

from __future__ import annotations
