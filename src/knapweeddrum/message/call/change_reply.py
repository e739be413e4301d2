"""The verdict on a configuration change."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.change_verdict import ChangeVerdict


class ChangeReply(msgspec.Struct, frozen=True):
    """The resource's version and offset after the change, or those that won over it."""

    verdict: ChangeVerdict
    version: int = 0
    offset: int = -1
    retry_after: float = 0.0
