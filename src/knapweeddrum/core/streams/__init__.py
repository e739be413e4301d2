"""Where a stream that broke off may go on."""

from __future__ import annotations
