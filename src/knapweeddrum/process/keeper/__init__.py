"""The keeper: log replay, grants, request claims, membership and configuration.

Each entry host runs one keeper. It holds the state of the log's streams and serves the
router of its host and the keepers of other hosts.
"""

from __future__ import annotations
