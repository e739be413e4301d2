"""Replies to draws, kept so that a repeated draw gets the same reply."""

from __future__ import annotations

import collections
import dataclasses

from knapweeddrum.message.call.draw_reply import DrawReply

DRAW_REPLY_KEEP_SECONDS = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class _KeptReply:
    reply: DrawReply
    time: float


class DrawReplies:
    """Replies by draw identifier, kept for DRAW_REPLY_KEEP_SECONDS."""

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[str, _KeptReply] = collections.OrderedDict()

    def get(self, draw_id: str) -> DrawReply | None:
        """Return the reply to a draw; None if it was not answered recently."""
        kept = self._kept.get(draw_id)
        return kept.reply if kept else None

    def keep(self, draw_id: str, reply: DrawReply, now: float) -> None:
        """Keep a reply and drop the expired ones."""
        self._kept[draw_id] = _KeptReply(reply, now)
        while now - next(iter(self._kept.values())).time > DRAW_REPLY_KEEP_SECONDS:
            self._kept.popitem(last=False)
