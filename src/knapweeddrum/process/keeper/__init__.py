"""The keeper: folds of the log, grants, claims, membership and configuration."""

from __future__ import annotations
