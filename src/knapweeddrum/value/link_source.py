"""Whom the bytes come from that a host receives."""

from __future__ import annotations

import enum


class LinkSource(enum.StrEnum):
    """Kind of the peer at the other end of a connection."""

    CALLERS = "callers"
    ENDPOINTS = "endpoints"
    HOSTS = "hosts"
    """Other hosts, and operators who read this host's pages."""
    STORE = "store"
