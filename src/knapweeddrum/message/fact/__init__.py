"""Facts: the immutable entries of the log's records."""

from __future__ import annotations
