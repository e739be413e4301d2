"""Choice of an endpoint for a request, by load and health."""

from __future__ import annotations
