"""Encoded state of the configuration ledger."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.change_verdict import ChangeVerdict
from knapweeddrum.message.call.resource_record import ResourceRecord


class ChangeState(msgspec.Struct, frozen=True, array_like=True):
    """Verdict on a change; encoded as an array in this order.

    ``time`` is the log time of the verdict, in seconds. ``version`` and ``offset`` are
    those of the resource after an accepted change. For a conflict they are those that
    the resource had already, or 0 and -1 if it never existed.
    """

    time: float
    change_id: str
    verdict: ChangeVerdict
    version: int
    offset: int


class ConfigState(msgspec.Struct, frozen=True, array_like=True):
    """Resources, verdicts and newest changes; encoded as an array in this order.

    ``resources`` are sorted by kind and name, ``changes`` by time and identifier,
    ``history`` by log offset. ``history_start`` is the offset of the last change that
    was dropped from the history; -1 if there is none.
    """

    resources: tuple[ResourceRecord, ...]
    changes: tuple[ChangeState, ...]
    history: tuple[ResourceRecord, ...]
    history_start: int
    version: int = 1
