"""A small queueing model that drives the decision classes."""

from __future__ import annotations
