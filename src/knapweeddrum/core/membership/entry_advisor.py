"""Choice of the entry hosts that a caller is advised to use."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from knapweeddrum.core.membership.advice import Advice
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.value.identifiers import DataCentre, HostName

MAX_ADVISED_HOSTS = 4
"""Most hosts in one advice."""

_SCORE_BYTES = 8


class EntryAdvisor:
    """Orders hosts by data centre, then by rendezvous hash of the caller.

    Draining and failed hosts are left out. The order of the other hosts for a caller
    stays the same when a host is added or removed, and the callers of a failed host
    spread over all remaining ones. The last of MAX_ADVISED_HOSTS is from another data
    centre, if there is one.
    """

    def __init__(self, lifetime: float) -> None:
        self._lifetime = lifetime

    def advise(
        self,
        hosts: Iterable[EntryHost],
        caller: str,
        data_centre: DataCentre,
        exclude: HostName | None = None,
    ) -> Advice:
        """Return the advice for a caller in ``data_centre``.

        ``caller`` is any stable identifier of the caller. ``exclude`` is a host that
        refuses new work, whatever its entry in ``hosts`` says. The advice has no hosts
        if all are draining or failed.
        """
        available = [
            host
            for host in hosts
            if host.alive and not host.draining and host.host != exclude
        ]
        ranked = sorted(available, key=lambda host: _score(caller, host.host))
        near = [host for host in ranked if host.data_centre == data_centre]
        far = [host for host in ranked if host.data_centre != data_centre]
        kept = near[: MAX_ADVISED_HOSTS - 1] if far else near[:MAX_ADVISED_HOSTS]
        return Advice(tuple((kept + far)[:MAX_ADVISED_HOSTS]), self._lifetime)


def _score(caller: str, host: str) -> bytes:
    key = f"{caller}\n{host}".encode()
    return hashlib.blake2b(key, digest_size=_SCORE_BYTES).digest()
