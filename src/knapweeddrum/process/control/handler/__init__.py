"""Handlers of the resource API, one for each kind of request."""

from __future__ import annotations
