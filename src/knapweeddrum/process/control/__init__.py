"""The control process: the HTTP API with which operators manage the fleet."""

from __future__ import annotations
