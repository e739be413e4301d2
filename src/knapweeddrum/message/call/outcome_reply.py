"""Acknowledgement of an outcome."""

from __future__ import annotations

import msgspec


class OutcomeReply(msgspec.Struct, frozen=True):
    """``accepted`` is true once the outcome is on the log."""

    accepted: bool
