"""Load that endpoints take well, and when requests would begin there."""

from __future__ import annotations
