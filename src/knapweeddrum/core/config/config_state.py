"""Encoded state of the configuration fold."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.change_verdict import ChangeVerdict
from knapweeddrum.message.call.resource_record import ResourceRecord


class ChangeState(msgspec.Struct, frozen=True, array_like=True):
    """The verdict on a change and the log's time (s) at which it fell."""

    time: float
    change_id: str
    verdict: ChangeVerdict
    version: int
    offset: int


class ConfigState(msgspec.Struct, frozen=True, array_like=True):
    """Resources by kind and name, changes by time, the history by offset."""

    resources: tuple[ResourceRecord, ...]
    changes: tuple[ChangeState, ...]
    history: tuple[ResourceRecord, ...]
    history_start: int
    version: int = 1
