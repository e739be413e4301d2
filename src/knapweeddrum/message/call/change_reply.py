"""The verdict on a configuration change."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.change_verdict import ChangeVerdict


class ChangeReply(msgspec.Struct, frozen=True):
    """The verdict, with the version and log offset of the resource.

    After CONFLICT they are those of the version that the change did not replace.
    Version 0 and offset -1 stand for none. ``retry_after`` is in seconds, set with
    UNAVAILABLE and UNKNOWN.
    """

    verdict: ChangeVerdict
    version: int = 0
    offset: int = -1
    retry_after: float = 0.0
