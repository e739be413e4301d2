"""Ledger of a stream of request claims."""

from __future__ import annotations

import itertools

from knapweeddrum.core.claim.request_claim_entry import RequestClaimEntry
from knapweeddrum.core.claim.request_claim_ledger_state import (
    RequestClaimEntryState,
    RequestClaimLedgerState,
)
from knapweeddrum.core.claim.request_claim_state import RequestClaimState
from knapweeddrum.core.claim.request_claim_windows import RequestClaimWindows
from knapweeddrum.core.exceptions import StateError
from knapweeddrum.core.replay.expiry import pop_expired
from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.core.replay.ledger_outcome import LedgerOutcome
from knapweeddrum.core.replay.state_codec import decode_state, encode_state
from knapweeddrum.message.call.claim_reply import ClaimReply
from knapweeddrum.message.call.claim_verdict import ClaimVerdict
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.request_claim import RequestClaim
from knapweeddrum.message.fact.request_claim_outcome import RequestClaimOutcome

MAX_NOT_RUN_CLAIMANTS = 64
"""Claimants of one key that may end with ``not_run``; after that no claim wins it."""

_ACCEPTED = LedgerOutcome(FactOutcome.ACCEPTED)
_CONFLICT = LedgerOutcome(FactOutcome.CONFLICT)
_REJECTED = LedgerOutcome(FactOutcome.REJECTED)
_REPEATED = LedgerOutcome(FactOutcome.REPEATED)

_VERDICTS = {
    RequestClaimState.PENDING: ClaimVerdict.PENDING,
    RequestClaimState.DONE: ClaimVerdict.DONE,
    RequestClaimState.NOT_RUN: ClaimVerdict.NOT_RUN,
    RequestClaimState.UNKNOWN: ClaimVerdict.UNKNOWN,
}


class RequestClaimLedger(Ledger):
    """Claims to execute requests that are not idempotent: the first of a key wins.

    A claim key identifies one request of a caller, a claimant one attempt to execute
    it. Only the winner of a key may dispatch the request and record an outcome.
    ``not_run`` frees the key for other claimants, but never for the same one again.
    """

    def __init__(self, windows: RequestClaimWindows | None = None) -> None:
        self._windows = windows or RequestClaimWindows()
        self._time = 0.0
        self._entries: dict[str, RequestClaimEntry] = {}
        self._resolved: dict[str, float] = {}
        self._unresolved: dict[str, float] = {}
        self._bodies: dict[str, float] = {}
        self._body_bytes = 0

    def apply(self, fact: AnyFact, offset: int, time: float) -> LedgerOutcome | None:
        """Apply a fact and return the verdict; None for facts of other ledgers."""
        match fact:
            case RequestClaim():
                return self._apply_claim(fact, time)
            case RequestClaimOutcome():
                return self._apply_outcome(fact, time)
        return None

    def verdict(
        self,
        claim_key: str,
        claimant: str,
        fingerprint: str,
        issued_at: float | None = None,
    ) -> ClaimReply:
        """Return the verdict on a key for a claimant.

        ``issued_at`` is the log time, in seconds, at which the key was issued. A key
        whose outcome is known gets this outcome, however old the key is. Otherwise a
        key issued more than ``resolved_seconds`` ago gets EXPIRED, which doesn't tell
        whether the request ran, and a newer key that was never claimed gets NOT_RUN.
        """
        entry = self._entries.get(claim_key)
        if entry and entry.is_mismatch(fingerprint):
            return ClaimReply(ClaimVerdict.MISMATCH)
        if entry and claimant in entry.not_run_claimants:
            return ClaimReply(ClaimVerdict.NOT_RUN)
        if entry and entry.state in {RequestClaimState.DONE, RequestClaimState.UNKNOWN}:
            return _reply(entry)
        if self._is_expired(issued_at):
            return ClaimReply(ClaimVerdict.EXPIRED)
        if entry is None:
            return ClaimReply(ClaimVerdict.NOT_RUN)
        if entry.state is RequestClaimState.PENDING and entry.claimant == claimant:
            return ClaimReply(ClaimVerdict.WON)
        return _reply(entry)

    def pending_of(self, claimant: str) -> tuple[str, ...]:
        """Return the keys that a claimant won without an outcome yet, sorted."""
        held = [
            claim_key
            for claim_key, entry in self._entries.items()
            if entry.claimant == claimant and entry.state is RequestClaimState.PENDING
        ]
        return tuple(sorted(held))

    def prune(self, time: float) -> None:
        """Remove bodies, then claims, that are past their windows at ``time``."""
        self._time = time
        for claim_key in pop_expired(
            self._bodies, float, time - self._windows.body_seconds
        ):
            self._remove_body(claim_key)
        self._remove_expired(self._resolved, time - self._windows.resolved_seconds)
        self._remove_expired(self._unresolved, time - self._windows.unresolved_seconds)

    def dump(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""
        entries = [_entry_state(*item) for item in self._entries.items()]
        entries.sort(key=_entry_order)
        return encode_state(
            RequestClaimLedgerState(time=self._time, entries=tuple(entries))
        )

    def load(self, state: bytes) -> None:
        """Replace the state with an encoded one.

        Raises StateError when the encoded state can't be decoded.
        """
        decoded = decode_state(state, RequestClaimLedgerState)
        try:
            entries = {entry.claim_key: _entry(entry) for entry in decoded.entries}
        except ValueError as exc:
            raise StateError(f"unknown state of a request claim: {exc}") from exc
        self._time = decoded.time
        self._entries = entries
        self._resolved = {}
        self._unresolved = {}
        self._bodies = {}
        self._body_bytes = 0
        for claim_key, entry in entries.items():
            self._enqueue(claim_key, entry)
            if entry.body is not None:
                self._track_body(claim_key, entry)

    def _apply_claim(self, fact: RequestClaim, time: float) -> LedgerOutcome:
        if fact.issued_at and fact.issued_at < time - self._windows.resolved_seconds:
            return _REJECTED
        entry = self._entries.get(fact.claim_key)
        if entry is None:
            entry = RequestClaimEntry(
                time=time, claimant=fact.claimant, fingerprint=fact.fingerprint
            )
            self._entries[fact.claim_key] = entry
            self._enqueue(fact.claim_key, entry)
            return _ACCEPTED
        if fact.claimant in entry.not_run_claimants:
            return _REJECTED
        if entry.is_mismatch(fact.fingerprint):
            return LedgerOutcome(FactOutcome.MISMATCH)
        if entry.claimant == fact.claimant:
            return _REPEATED
        if entry.state is not RequestClaimState.NOT_RUN:
            return _CONFLICT
        if len(entry.not_run_claimants) >= MAX_NOT_RUN_CLAIMANTS:
            return _REJECTED
        entry.claimant = fact.claimant
        entry.fingerprint = fact.fingerprint
        entry.state = RequestClaimState.PENDING
        entry.time = time
        self._enqueue(fact.claim_key, entry)
        return _ACCEPTED

    def _apply_outcome(self, fact: RequestClaimOutcome, time: float) -> LedgerOutcome:
        entry = self._entries.get(fact.claim_key)
        state = _outcome_state(fact.state)
        if state is None:
            return _REJECTED
        if entry is None or entry.claimant != fact.claimant:
            return self._apply_outcome_of_non_holder(fact, state, entry, time)
        if fact.claimant in entry.not_run_claimants:
            return _REPEATED if state is RequestClaimState.NOT_RUN else _REJECTED
        if entry.state is not RequestClaimState.PENDING:
            return _REPEATED if entry.state is state else _REJECTED
        entry.state = state
        entry.time = time
        self._enqueue(fact.claim_key, entry)
        if state is RequestClaimState.NOT_RUN:
            entry.not_run_claimants = (*entry.not_run_claimants, fact.claimant)
        if state is RequestClaimState.DONE:
            self._keep_answer(fact, entry)
        return _ACCEPTED

    def _apply_outcome_of_non_holder(
        self,
        fact: RequestClaimOutcome,
        state: RequestClaimState,
        entry: RequestClaimEntry | None,
        time: float,
    ) -> LedgerOutcome:
        """Apply the outcome of a claimant that doesn't hold the key.

        The claim itself may still reach the log later. If the outcome is ``not_run``,
        that claim must not win then, so its claimant is recorded.
        """
        if state is not RequestClaimState.NOT_RUN:
            return _REJECTED
        if entry is None:
            entry = RequestClaimEntry(
                time=time,
                claimant=fact.claimant,
                fingerprint="",
                state=RequestClaimState.NOT_RUN,
                not_run_claimants=(fact.claimant,),
            )
            self._entries[fact.claim_key] = entry
            self._enqueue(fact.claim_key, entry)
            return _ACCEPTED
        if (
            fact.claimant not in entry.not_run_claimants
            and len(entry.not_run_claimants) < MAX_NOT_RUN_CLAIMANTS
        ):
            entry.not_run_claimants = (*entry.not_run_claimants, fact.claimant)
        return _REPEATED

    def _keep_answer(self, fact: RequestClaimOutcome, entry: RequestClaimEntry) -> None:
        entry.status = fact.status
        entry.content_type = fact.content_type
        if len(fact.body) > self._windows.max_body_bytes:
            return
        entry.body = fact.body
        self._track_body(fact.claim_key, entry)
        while self._body_bytes > self._windows.max_total_body_bytes:
            claim_key = self._oldest_body()
            del self._bodies[claim_key]
            self._remove_body(claim_key)

    def _track_body(self, claim_key: str, entry: RequestClaimEntry) -> None:
        self._bodies[claim_key] = entry.time
        self._body_bytes += len(entry.body or b"")

    def _oldest_body(self) -> str:
        # The smallest key among equal times: the order of arrival is not part of the
        # encoded state, and a restored ledger has to choose the same one.
        oldest = next(iter(self._bodies.values()))
        equal = itertools.takewhile(lambda i: i[1] == oldest, self._bodies.items())
        return min(claim_key for claim_key, _ in equal)

    def _remove_body(self, claim_key: str) -> None:
        entry = self._entries[claim_key]
        self._body_bytes -= len(entry.body or b"")
        entry.body = None

    def _remove_expired(self, queue: dict[str, float], horizon: float) -> None:
        for claim_key in pop_expired(queue, float, horizon):
            if self._bodies.pop(claim_key, None) is not None:
                self._remove_body(claim_key)
            del self._entries[claim_key]

    def _enqueue(self, claim_key: str, entry: RequestClaimEntry) -> None:
        # A key is in one queue only. It is removed from both first, because a dict
        # keeps the place of a key that is set again, and the queues are sorted by time.
        self._resolved.pop(claim_key, None)
        self._unresolved.pop(claim_key, None)
        queue = self._unresolved if entry.is_unresolved else self._resolved
        queue[claim_key] = entry.time

    def _is_expired(self, issued_at: float | None) -> bool:
        return (
            issued_at is not None
            and issued_at < self._time - self._windows.resolved_seconds
        )


def _reply(entry: RequestClaimEntry) -> ClaimReply:
    return ClaimReply(
        verdict=_VERDICTS[entry.state],
        status=entry.status,
        content_type=entry.content_type,
        body=entry.body or b"",
        body_kept=entry.body is not None or entry.state is not RequestClaimState.DONE,
    )


def _outcome_state(name: str) -> RequestClaimState | None:
    try:
        state = RequestClaimState(name)
    except ValueError:
        return None
    return None if state is RequestClaimState.PENDING else state


def _entry_state(claim_key: str, entry: RequestClaimEntry) -> RequestClaimEntryState:
    return RequestClaimEntryState(
        time=entry.time,
        claim_key=claim_key,
        claimant=entry.claimant,
        fingerprint=entry.fingerprint,
        state=entry.state.value,
        not_run_claimants=entry.not_run_claimants,
        status=entry.status,
        content_type=entry.content_type,
        body=entry.body,
    )


def _entry(state: RequestClaimEntryState) -> RequestClaimEntry:
    return RequestClaimEntry(
        time=state.time,
        claimant=state.claimant,
        fingerprint=state.fingerprint,
        state=RequestClaimState(state.state),
        not_run_claimants=state.not_run_claimants,
        status=state.status,
        content_type=state.content_type,
        body=state.body,
    )


def _entry_order(entry: RequestClaimEntryState) -> tuple[float, str]:
    return (entry.time, entry.claim_key)
