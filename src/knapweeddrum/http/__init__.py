"""HTTP exchanges over httpcore that tell unsent requests from unanswered ones."""

from __future__ import annotations
