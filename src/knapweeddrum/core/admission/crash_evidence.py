"""What shows whether an endpoint that lost a connection has crashed."""

from __future__ import annotations

import enum

from knapweeddrum.value.probe_result import ProbeResult

EVIDENCE_LIFETIME_SECONDS = 10.0
"""Time after a lost connection for which signs of a crash are looked for."""

SIGN_OF_LIFE_SECONDS = 0.1
"""Time after the loss from which on data or an accepted connection shows that the
endpoint still runs; before that, data may have been sent earlier, and connections are
accepted until the whole process has ended."""

REFUSED_PROBES = 2
"""Refused connections in a row that show a crash; a single one may be for overload."""

UNANSWERED_PROBES = 3
"""Unanswered connections in a row that show a crash, if the path is not the cause."""

REPROBE_SECONDS = 1.0
"""Time after an accepted connection until the next is tried."""


class Listing(enum.Enum):
    """Where the service list has an endpoint that lost a connection."""

    LISTED = "listed"
    REPLACED = "replaced"
    """A later start of it, or another endpoint, is listed at its address."""
    GONE = "gone"


class CrashSign(enum.StrEnum):
    """What showed that an endpoint crashed."""

    REFUSED = "refused"
    """It refuses connections."""
    REPLACED = "replaced"
    """Its successor is listed."""
    UNLISTED = "unlisted"
    """Its entry lapsed and it doesn't answer."""
    UNANSWERED = "unanswered"
    """It doesn't answer, and others in its data centre do."""


class CrashEvidence:
    """Tells the crash of an endpoint from connections lost for another reason.

    An endpoint has crashed if it sent nothing after the loss, and it refuses
    connections, was replaced, or doesn't answer and either lapsed from the service list
    or has neighbours that answer, so that the path to it is not cut.
    Times are in monotonic seconds.
    """

    def __init__(self, lost_at: float) -> None:
        self._lost_at = lost_at
        self._refused_probes = 0
        self._unanswered_probes = 0
        self._answered_as: Listing | None = None
        self._answered_at = float("-inf")

    def renew(self, lost_at: float) -> None:
        """Look at a further loss: the endpoint may have crashed since it answered."""
        self._lost_at = lost_at
        self._answered_as = None

    @property
    def has_answered(self) -> bool:
        """Return whether a probe was accepted."""
        return self._answered_as is not None

    def age(self, now: float) -> float:
        """Return the seconds since the loss."""
        return now - self._lost_at

    def is_expired(self, now: float) -> bool:
        """Return whether the loss stays unexplained."""
        return self.age(now) > EVIDENCE_LIFETIME_SECONDS

    def is_alive(self, last_data_at: float) -> bool:
        """Return whether the endpoint sent data after the loss."""
        return self._shows_life(last_data_at)

    def needs_probe(self, listing: Listing, now: float) -> bool:
        """Return whether a connection would tell more than is known."""
        if listing is Listing.REPLACED:
            return False
        is_answered = listing is self._answered_as
        return not is_answered or now - self._answered_at >= REPROBE_SECONDS

    def judge(
        self,
        listing: Listing,
        probe: ProbeResult | None,
        now: float,
        neighbour_data_at: float = float("-inf"),
    ) -> CrashSign | None:
        """Return what shows a crash, or None.

        ``probe`` is the result, if any, of a connection that was tried at ``now``, and
        ``neighbour_data_at`` is when another endpoint there sent data last.
        """
        if listing is Listing.REPLACED:
            return CrashSign.REPLACED
        if probe is not None:
            self._record_probe(listing, probe, now)
        if self._refused_probes >= REFUSED_PROBES:
            return CrashSign.REFUSED
        if listing is Listing.GONE and probe is ProbeResult.UNANSWERED:
            return CrashSign.UNLISTED
        is_dark = self._unanswered_probes >= UNANSWERED_PROBES
        if is_dark and self._shows_life(neighbour_data_at):
            return CrashSign.UNANSWERED
        return None

    def _record_probe(self, listing: Listing, probe: ProbeResult, now: float) -> None:
        refused = probe is ProbeResult.REFUSED
        self._refused_probes = self._refused_probes + 1 if refused else 0
        unanswered = probe is ProbeResult.UNANSWERED
        self._unanswered_probes = self._unanswered_probes + 1 if unanswered else 0
        if probe is ProbeResult.CONNECTED and self._shows_life(now):
            self._answered_as = listing
            self._answered_at = now

    def _shows_life(self, seen_at: float) -> bool:
        return seen_at > self._lost_at + SIGN_OF_LIFE_SECONDS
