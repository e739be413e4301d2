"""Facts: the entries of the log's records."""

from __future__ import annotations
