"""What the fold remembers of a billed request."""

from __future__ import annotations

import dataclasses
import hashlib
import struct
from collections.abc import Iterator

from knapweeddrum.message.fact.bill import Bill

KEY_DIGEST_BYTES = 16
"""Digest of a request key; two of billions of keys don't share one."""

NAME_DIGEST_BYTES = 8
"""Digest of a run or settler; it is compared only within one request."""

_SEEN = struct.Struct(f">{NAME_DIGEST_BYTES}s{NAME_DIGEST_BYTES}sQ")
"""Run, settler and the figure in tokens of one bill."""


@dataclasses.dataclass(slots=True)
class BilledRequest:
    """The bills of one request key in the order of the log; the first run counts.

    ``time`` is the log's time (s) of the latest. The bills are packed, because the
    fold keeps millions of requests.
    """

    time: float
    seen: bytes = b""

    @staticmethod
    def digest(request_key: str) -> bytes:
        """Return the digest under which the fold keeps a request key."""
        return _digest(request_key, KEY_DIGEST_BYTES)

    @property
    def bill_count(self) -> int:
        """Return the number of bills that counted."""
        return len(self.seen) // _SEEN.size

    def is_billed_run(self, bill: Bill) -> bool:
        """Tell whether the bill is of the run that the first bill named."""
        return self.seen[:NAME_DIGEST_BYTES] == _name_digest(bill.run_id)

    def has_seen(self, bill: Bill) -> bool:
        """Tell whether this settler's bill of this run was folded before."""
        return any(
            settler == _name_digest(bill.settler) for settler, _ in self._of_run(bill)
        )

    def known_figure(self, bill: Bill) -> int:
        """Return the highest figure reported for the bill's run; 0 for a new run."""
        return max((figure for _, figure in self._of_run(bill)), default=0)

    def note(self, bill: Bill, time: float) -> None:
        """Remember a bill."""
        run, settler = _name_digest(bill.run_id), _name_digest(bill.settler)
        self.seen += _SEEN.pack(run, settler, bill.run_tokens)
        self.time = time

    def _of_run(self, bill: Bill) -> Iterator[tuple[bytes, int]]:
        wanted = _name_digest(bill.run_id)
        for run, settler, figure in _SEEN.iter_unpack(self.seen):
            if run == wanted:
                yield settler, figure


def _digest(name: str, size: int) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=size).digest()


def _name_digest(name: str) -> bytes:
    return _digest(name, NAME_DIGEST_BYTES)
