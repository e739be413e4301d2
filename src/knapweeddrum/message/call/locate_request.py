"""A router's question where a request runs."""

from __future__ import annotations

import msgspec


class LocateRequest(msgspec.Struct, frozen=True):
    """Tells where a request runs, or asks.

    With ``endpoint`` set it tells that the request now runs there as ``run_id``;
    without, it asks. With ``finished`` the entry is dropped. ``forwarded`` is set by
    a keeper that passes the request on to the keeper which holds the entry.
    """

    request_key: str
    router: str
    endpoint: str = ""
    run_id: str = ""
    finished: bool = False
    forwarded: bool = False
