"""A router's report of where a request runs, or its question."""

from __future__ import annotations

import msgspec


class LocateRequest(msgspec.Struct, frozen=True):
    """Reports or asks where a request runs.

    With ``endpoint``, it reports that the request now runs there as ``run_id``. Without
    one it asks, or with ``finished`` has the keeper forget the run. ``forwarded`` is
    set by a keeper that passes the message on to the keeper responsible for the key.
    """

    request_key: str
    router: str
    endpoint: str = ""
    run_id: str = ""
    finished: bool = False
    forwarded: bool = False
