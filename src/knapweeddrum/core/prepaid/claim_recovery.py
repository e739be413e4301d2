"""Decides when claims may go on after the store came back from an older copy."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

from knapweeddrum.core.prepaid.claim_check_in import (
    ClaimCheckIn,
    KnownClaim,
    KnownConsent,
)
from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.core.prepaid.token_claim_ledger import TokenClaimLedger
from knapweeddrum.value.store_position import offset_of

_ClaimKey = tuple[str, str]
"""Organisation and incarnation of a claim."""

NO_ERA = 0
"""Era of a store that tells none, which is taken to lose nothing."""

NEVER = -1
"""In place of an era in which a host knew all claims, for one that never did."""

MAX_MISSING_HOSTS = 1
"""Hosts without a check-in for whose claims the others' knowledge stands.

A host spends only what another one, its witness, knows of. With two missing, one may
have been the witness of the other. Incarnations of one host never are.
"""

SKIP_MARGIN = 64
"""Offsets that are skipped beyond the highest one that any host had read."""


class ClaimRecovery:
    """Knows whether the stream of claims is complete in the present era of the store.

    When the store returns, its claims are those of an older copy. Each host that knew
    all claims before checks in, with its own claims, what it read and what it
    unlocked. Once all hosts that ran have, one of them opens the era: it writes the
    claims that are missing and an opening, in one conditional append. Until then nobody
    claims; hosts spend what they hold.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self.era = NO_ERA
        self.complete_era: int | None = None
        """Newest era in which this host knew all claims, None for none."""
        self.opened_era = NEVER
        """Era of the newest opening that was read."""
        self._is_fresh = False
        self._has_told = False
        """Whether this host has told in the present era what it knows."""
        self._running: set[str] = set()
        self._left: set[str] = set()
        self._check_ins: dict[str, ClaimCheckIn] = {}
        self._outdated: set[str] = set()

    @property
    def is_open(self) -> bool:
        """Return whether claims may be written."""
        return self.era in (NO_ERA, self.opened_era)

    @property
    def has_checked_in(self) -> bool:
        """Return whether this host's check-in of the present era was read."""
        return self._incarnation in self._check_ins

    def begin_era(self, era: int, running: Iterable[str], *, is_fresh: bool) -> None:
        """Record that the store has returned, and which other hosts ran before.

        ``is_fresh`` tells whether their heartbeats were read shortly before.
        """
        if self.is_open:
            self._running = set()
            self._is_fresh = is_fresh
        self._running |= set(running) - self._left
        self.era = era
        self._has_told = False
        self._check_ins = {}
        self._outdated = set()

    def enter_era(self, era: int) -> None:
        """Record the era in which a process that starts reads the claims first."""
        if self.complete_era is None and era != self.era:
            self.begin_era(era, (), is_fresh=False)

    def record_complete(self) -> None:
        """Record that this host has read all claims of the present era, now open."""
        if self.is_open:
            self.complete_era = self.era

    def apply_opening(self, era: int) -> None:
        """Apply an opening; those of earlier eras tell nothing new."""
        self.opened_era = max(self.opened_era, era)

    def apply_check_in(self, check_in: ClaimCheckIn) -> None:
        """Apply a check-in, or the notice of a host that has left."""
        if check_in.has_left:
            self._left.add(check_in.incarnation)
        elif check_in.era == self.era:
            self._check_ins[check_in.incarnation] = check_in
        if check_in.era < self.era:
            self._outdated.add(check_in.incarnation)

    def missing(self) -> list[str]:
        """Return, sorted, the hosts that ran and have neither checked in nor left."""
        ran = set(self._running)
        for check_in in self._check_ins.values():
            ran.update(check_in.running)
        return sorted(ran - self._left - self._check_ins.keys() - {self._incarnation})

    @property
    def may_open(self) -> bool:
        """Return whether enough is known for this host to open the era."""
        if self.is_open or not self.has_checked_in:
            return False
        missing_hosts = {_host_name(incarnation) for incarnation in self.missing()}
        if any(check_in.is_fresh for check_in in self._check_ins.values()):
            return len(missing_hosts) <= MAX_MISSING_HOSTS
        newest = max(check_in.complete_era for check_in in self._check_ins.values())
        return not missing_hosts and newest >= max(NO_ERA, self.opened_era)

    def may_open_first(self, *, has_claims: bool, is_first_start: bool) -> bool:
        """Return whether no claim can be missing, as nobody has claimed in any era.

        A stream without an opening that ``has_claims`` has those of hosts of the
        version before. ``is_first_start`` tells whether no process ran before this
        one; others that start now may have checked in already.
        """
        if self.opened_era != NEVER or self.complete_era is not None:
            return False
        if any(known.complete_era != NEVER for known in self._check_ins.values()):
            return False
        return has_claims or is_first_start

    def may_consent(self, holder: str, holder_era: int) -> bool:
        """Return whether this host may unlock more for a holder, as its witness.

        Not for one that has not noticed a return which this host has checked in for:
        what it was told of the holder's claims may be all that counts.
        """
        if self.era == NO_ERA or holder in self._check_ins:
            return True
        if self.is_open:
            return holder_era >= self.era
        return not self._has_told

    def check_in(
        self,
        known: TokenClaimLedger,
        listed: TokenClaimLedger,
        consents: Iterable[KnownConsent],
    ) -> ClaimCheckIn:
        """Return this host's check-in; ``listed`` are the claims of the copy."""
        self._has_told = True
        told = set(self._check_ins)
        for check_in in self._check_ins.values():
            told.update(check_in.running)
        return ClaimCheckIn(
            incarnation=self._incarnation,
            era=self.era,
            complete_era=NEVER if self.complete_era is None else self.complete_era,
            stream_end=known.end,
            is_fresh=self._is_fresh,
            running=tuple(sorted(self._running - told)),
            claims=tuple(self._untold_claims(known, listed)),
            consents=tuple(
                consent
                for consent in consents
                if consent.limit
                > listed.claimed_by(consent.organisation, consent.holder)
            ),
        )

    def leave(self) -> ClaimCheckIn:
        """Return the notice that this host writes no further claims."""
        return ClaimCheckIn(
            self._incarnation, self.era, NO_ERA, 0, is_fresh=False, has_left=True
        )

    def recovered_claims(self, listed: TokenClaimLedger) -> list[TokenClaim]:
        """Return the claims that the copy lacks, to be written with the opening."""
        claims = self._newest_known(listed)
        for check_in in self._check_ins.values():
            for consent in check_in.consents:
                if consent.holder not in self._check_ins:
                    _raise_to_consent(claims, consent, listed)
        return [
            claim
            for (organisation, incarnation), claim in sorted(claims.items())
            if claim != listed.claim_of(organisation, incarnation)
        ]

    def skipped_offsets(self, listed_end: int) -> int:
        """Return how many offsets to skip, so that none of before is given out again.

        A conditional append of the earlier era could else succeed.
        """
        ends = [offset_of(known.stream_end) for known in self._check_ins.values()]
        return max(0, max(ends, default=0) + SKIP_MARGIN - offset_of(listed_end))

    def outdated_check_ins(self) -> list[str]:
        """Return the incarnations whose check-in or leave is of an earlier era."""
        return sorted(self._outdated)

    def _newest_known(self, listed: TokenClaimLedger) -> dict[_ClaimKey, TokenClaim]:
        """Return the claims in check-ins that are newer than those in the copy."""
        newest: dict[_ClaimKey, KnownClaim] = {}
        for check_in in self._check_ins.values():
            for known in check_in.claims:
                key = (known.organisation, known.incarnation)
                before = (
                    offset_of(newest[key].position)
                    if key in newest
                    else listed.offset(*key)
                )
                if offset_of(known.position) > before:
                    newest[key] = known
        return {key: known.to_claim() for key, known in newest.items()}

    def _untold_claims(
        self, known: TokenClaimLedger, listed: TokenClaimLedger
    ) -> Iterator[KnownClaim]:
        """Return the claims that are newer than the copy and in no check-in so far."""
        told = self._newest_known(listed)
        for position, claim in known.all_claims():
            key = (claim.organisation, claim.incarnation)
            if offset_of(position) > listed.offset(*key) and told.get(key) != claim:
                yield KnownClaim.of(position, claim)


def _host_name(incarnation: str) -> str:
    return incarnation.partition("/")[0]


def _raise_to_consent(
    claims: dict[_ClaimKey, TokenClaim], consent: KnownConsent, listed: TokenClaimLedger
) -> None:
    key = (consent.organisation, consent.holder)
    claim = claims.get(key) or listed.claim_of(*key) or TokenClaim(*key, 0, 0, 0)
    if consent.limit >= claim.claimed:
        # Its witness can release nothing of it, so that all of it counts as spent.
        claims[key] = dataclasses.replace(
            claim,
            claimed=consent.limit,
            committed=consent.limit,
            unlocked=consent.limit,
        )
        return
    unlocked = max(claim.unlocked, consent.limit)
    claims[key] = dataclasses.replace(claim, unlocked=unlocked)
