"""Log events, counters and histograms."""

from __future__ import annotations
