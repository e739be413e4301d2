"""Folds of log streams and their checkpoints."""

from __future__ import annotations
