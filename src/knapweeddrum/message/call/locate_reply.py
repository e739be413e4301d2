"""Where a request runs."""

from __future__ import annotations

import msgspec


class LocateReply(msgspec.Struct, frozen=True):
    """The run that was last reported for a request; empty when none is known.

    ``router`` is the incarnation that sent the report: it streams, or streamed, the
    answer to the caller.
    """

    router: str = ""
    endpoint: str = ""
    run_id: str = ""
