"""Which entry hosts a caller is told to use."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from knapweeddrum.core.membership.advice import Advice
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.value.identifiers import DataCentre, HostName

MAX_HOSTS = 4
"""Addresses in one advice."""

_SCORE_BYTES = 8


class EntryAdvice:
    """Orders hosts by data centre, then by rendezvous hash of the caller.

    Draining and gone hosts are left out. Each caller keeps its order while hosts come
    and go, and the callers of a lost host spread over all that are left. A full advice
    ends with a host of another data centre, if there is one.
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

        ``caller`` is anything that stays the same for one caller. ``exclude`` is a
        host that refuses new work, whatever its entry says. The hosts are empty when
        all are draining or gone.
        """
        usable = [
            host
            for host in hosts
            if host.alive and not host.draining and host.host != exclude
        ]
        ranked = sorted(usable, key=lambda host: _score(caller, host.host))
        near = [host for host in ranked if host.data_centre == data_centre]
        far = [host for host in ranked if host.data_centre != data_centre]
        kept = near[: MAX_HOSTS - 1] if far else near[:MAX_HOSTS]
        return Advice(tuple((kept + far)[:MAX_HOSTS]), self._lifetime)


def _score(caller: str, host: str) -> bytes:
    key = f"{caller}\n{host}".encode()
    return hashlib.blake2b(key, digest_size=_SCORE_BYTES).digest()
