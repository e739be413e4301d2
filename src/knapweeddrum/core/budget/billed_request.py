"""The bills of one request, as the budget ledger stores them."""

from __future__ import annotations

import dataclasses
import hashlib
import struct
from collections.abc import Iterator

from knapweeddrum.message.fact.bill import Bill

KEY_DIGEST_BYTES = 16
"""Size of the digest of a request key: collisions are negligible for billions."""

NAME_DIGEST_BYTES = 8
"""Size of the digest of a run or settler, compared only within one request."""

_PACKED_BILL = struct.Struct(f">{NAME_DIGEST_BYTES}s{NAME_DIGEST_BYTES}sQ")
"""Digests of run and settler, and the reported tokens of the run, of one bill."""


@dataclasses.dataclass(slots=True)
class BilledRequest:
    """The bills of one request key in log order; only the first run is billed.

    ``time`` is the log time (s) of the latest bill. The bills are packed into bytes
    because the ledger holds millions of requests.
    """

    time: float
    packed_bills: bytes = b""

    @staticmethod
    def digest(request_key: str) -> bytes:
        """Return the digest under which the ledger stores a request key."""
        return _digest(request_key, KEY_DIGEST_BYTES)

    @property
    def bill_count(self) -> int:
        """Return the number of recorded bills."""
        return len(self.packed_bills) // _PACKED_BILL.size

    def is_billed_run(self, bill: Bill) -> bool:
        """Return whether the bill is for the run that the first bill named."""
        return self.packed_bills[:NAME_DIGEST_BYTES] == _name_digest(bill.run_id)

    def has_bill(self, bill: Bill) -> bool:
        """Return whether a bill of this settler for this run is recorded."""
        return any(
            settler == _name_digest(bill.settler) for settler, _ in self._of_run(bill)
        )

    def highest_run_tokens(self, bill: Bill) -> int:
        """Return the most tokens reported so far for the bill's run; 0 if new."""
        return max((figure for _, figure in self._of_run(bill)), default=0)

    def record(self, bill: Bill, time: float) -> None:
        """Record a bill and the log time (s) at which it was applied."""
        run, settler = _name_digest(bill.run_id), _name_digest(bill.settler)
        self.packed_bills += _PACKED_BILL.pack(run, settler, bill.run_tokens)
        self.time = time

    def _of_run(self, bill: Bill) -> Iterator[tuple[bytes, int]]:
        wanted = _name_digest(bill.run_id)
        for run, settler, figure in _PACKED_BILL.iter_unpack(self.packed_bills):
            if run == wanted:
                yield settler, figure


def _digest(name: str, size: int) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=size).digest()


def _name_digest(name: str) -> bytes:
    return _digest(name, NAME_DIGEST_BYTES)
