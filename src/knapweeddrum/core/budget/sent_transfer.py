"""A transfer of grant tokens that was sent to another keeper."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.allowance import Allowance


@dataclasses.dataclass(frozen=True, slots=True)
class SentTransfer:
    """The slices of a transfer reply and the time (s) at which they were debited."""

    time: float
    allowances: tuple[Allowance, ...]
