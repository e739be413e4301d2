"""Choice of an endpoint for a request."""

from __future__ import annotations
