"""Configuration, organisations, routes and endpoints as the fleet uses them."""

from __future__ import annotations
