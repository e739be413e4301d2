"""Choice of an endpoint for a request, and retries."""

from __future__ import annotations
