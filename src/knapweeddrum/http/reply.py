"""A complete HTTP reply."""

from __future__ import annotations

import dataclasses

from knapweeddrum.http.reply_head import ReplyHead


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status, headers and complete body of a reply."""

    head: ReplyHead
    body: bytes

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.head.status
