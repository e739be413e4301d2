"""What a host has observed of the listed endpoints over time."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from knapweeddrum.core.catalog.endpoint_entry import UNKNOWN_VERSION, EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.streams.version_record import SoleVersion, VersionRecord

STREAM_MEMORY_SECONDS = 20.0
"""Time after its beginning for which a stream may be taken up again."""

MAX_LIST_AGE_SECONDS = 2.0
"""Age of the service list above which it may lack a version that serves."""

DRAIN_MARGIN_SECONDS = 0.25
"""Part of an endpoint's notice that is left for requests on their way to it."""


@dataclasses.dataclass(slots=True)
class _AloneVersion:
    version: str
    since: float


class EndpointHistory:
    """Knows since when a service has had a single version and an endpoint drains.

    Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._sole: dict[str, _AloneVersion] = {}
        self._drain_noticed_after: dict[str, float] = {}
        self._read_at = float("-inf")
        self._first_read_at = float("inf")
        self.list_offset = 0
        """Offset in the service list up to which entries are known."""

    def observe(
        self,
        entries: Iterable[EndpointEntry],
        asked_at: float,
        now: float,
        list_offset: int,
    ) -> None:
        """Record the complete list, asked for at ``asked_at`` and read at ``now``.

        ``list_offset`` is that of the first entry that is not in it.
        """
        self.list_offset = list_offset
        self._first_read_at = min(self._first_read_at, now)
        versions: dict[str, set[str]] = {}
        draining = {}
        for entry in entries:
            versions.setdefault(entry.service, set()).add(entry.software_version)
            if entry.draining:
                known = self._drain_noticed_after.get(entry.endpoint_id, self._read_at)
                draining[entry.endpoint_id] = known
        self._drain_noticed_after = draining
        self._read_at = asked_at
        for service, listed in versions.items():
            self._observe_versions(service, listed, now)

    def knows_list_of(self, moment: float) -> bool:
        """Return whether the list was asked for at ``moment`` or later."""
        return self._read_at >= moment

    def origin_version(self, service: str, begun_before: float) -> str | None:
        """Return the version at which a stream must have begun, None if unknown.

        The stream began before ``begun_before``. Another host may have read a newer
        list by then; only a list that was asked for later has all that it had.
        """
        if not self.knows_list_of(begun_before):
            return None
        return self.sole_version(service, begun_before)

    def confirms(
        self, service: str, version: str, told_after: float, begun_before: float
    ) -> bool:
        """Return whether another host's sole version is that of a stream for certain.

        The host answered after ``told_after``, by a list that was up to date. This one
        must have had that version alone ever since that list, and know a list of
        ``begun_before``, before which the stream began.
        """
        sole = self._sole.get(service)
        if sole is None or not self.knows_list_of(begun_before):
            return False
        is_covered = sole.since <= told_after - MAX_LIST_AGE_SECONDS
        return sole.version == version and is_covered

    def sole_version(self, service: str, now: float) -> str | None:
        """Return the version at which any stream of a service has begun.

        None unless the service has had that version alone for as long as a stream may
        be taken up again, by a list that is up to date. Other hosts may know of a
        newer one already.
        """
        sole = self._sole.get(service)
        if sole is None or now - self._read_at > MAX_LIST_AGE_SECONDS:
            return None
        return sole.version if now - sole.since >= STREAM_MEMORY_SECONDS else None

    def version_record(self) -> VersionRecord:
        """Return what later hosts may need to know."""
        sole = tuple(
            SoleVersion(
                service,
                alone.version,
                max(0.0, min(STREAM_MEMORY_SECONDS, self._read_at - alone.since)),
            )
            for service, alone in sorted(self._sole.items())
        )
        return VersionRecord(self.list_offset, sole)

    def recall(self, sole: SoleVersion, now: float) -> None:
        """Take over what was known of a service before this host started.

        It holds only if the service has listed no other version since.
        """
        known = self._sole.get(sole.service)
        if known is None or known.since > self._first_read_at:
            return
        if known.version == sole.software_version:
            known.since = min(known.since, now - sole.seconds)

    def takes_streams(self, state: EndpointState, notice: float, now: float) -> bool:
        """Return whether a stream may go on at an endpoint.

        One that leaves takes further requests for ``notice`` seconds after it told this
        host, or the store, which was after the read before the one that showed it.
        """
        leaving_since = state.notices.leaving_since
        if leaving_since is None:
            leaving_since = float("inf")
        if state.entry.draining:
            noticed_after = self._drain_noticed_after.get(
                state.entry.endpoint_id, float("-inf")
            )
            leaving_since = min(leaving_since, noticed_after)
        return now < leaving_since + notice - DRAIN_MARGIN_SECONDS

    def _observe_versions(self, service: str, listed: set[str], now: float) -> None:
        if len(listed) > 1 or UNKNOWN_VERSION in listed:
            self._sole.pop(service, None)
            return
        (version,) = listed
        known = self._sole.get(service)
        if known is None or known.version != version:
            self._sole[service] = _AloneVersion(version, now)
