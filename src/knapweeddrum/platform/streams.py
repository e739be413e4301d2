"""Names of the streams in the platform's store."""

from __future__ import annotations

CONFIGURATION_STREAM = "keyed.op"
CONFIGURATION_KEY = "config"
EMPTIED_KEY_PREFIX = "evacuate/"
"""Prefix of the keys beside the configuration that name emptied data centres."""
SERVICE_LIST_STREAM = "keyed.servers"
HOSTS_STREAM = "keyed.hosts"
CLAIMS_STREAM = "keyed.claims"
CRASHES_STREAM = "keyed.crashes"
