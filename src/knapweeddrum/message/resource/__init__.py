"""Configuration resources as data, after validation."""

from __future__ import annotations
