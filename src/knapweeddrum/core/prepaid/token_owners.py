"""Which host claims an organisation's tokens for all hosts."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable

from knapweeddrum.value.host_record import HostRecord

OWNER_GROUPS = 8
"""Groups of organisations with one owner each.

The number is fixed, so that as many hosts write claims whatever the number of hosts and
organisations.
"""


class TokenOwners:
    """Ranks the hosts by which of them claims the tokens of an organisation.

    The first one, the owner, claims tokens and lends them to the other hosts. Hosts may
    disagree about the owner, as they learn at different times which hosts are ready;
    then several claim, which the conditional writes of claims make safe.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._others: tuple[HostRecord, ...] = ()
        self._rankings: dict[int, tuple[HostRecord, ...]] = {}
        self._before_self: dict[int, tuple[HostRecord, ...]] = {}
        self._ranks: dict[int, dict[str, bytes]] = {}
        """Kept when hosts change, as most of them stay and hashes are dear."""

    def set_hosts(self, others: Iterable[HostRecord]) -> None:
        """Set the other hosts that are ready."""
        updated = tuple(others)
        if [_identity(host) for host in updated] != [
            _identity(host) for host in self._others
        ]:
            self._others = updated
            self._rankings.clear()
            self._before_self.clear()
            self._forget_ranks()

    def before_self(self, organisation: str) -> tuple[HostRecord, ...]:
        """Return the other hosts that rank before this one, the owner first."""
        group = _group(organisation)
        before = self._before_self.get(group)
        if before is None:
            own_rank = self._rank(group, self._own_name)
            before = tuple(
                host
                for host in self._ranking(group)
                if self._rank(group, host.name) < own_rank
            )
            self._before_self[group] = before
        return before

    def others(self, organisation: str) -> tuple[HostRecord, ...]:
        """Return all other hosts, the best ranked first."""
        return self._ranking(_group(organisation))

    def _ranking(self, group: int) -> tuple[HostRecord, ...]:
        ranking = self._rankings.get(group)
        if ranking is None:
            ranking = tuple(
                sorted(self._others, key=lambda host: self._rank(group, host.name))
            )
            self._rankings[group] = ranking
        return ranking

    def _rank(self, group: int, name: str) -> bytes:
        ranks = self._ranks.setdefault(group, {})
        rank = ranks.get(name)
        if rank is None:
            rank = ranks[name] = _rank(group, name)
        return rank

    def _forget_ranks(self) -> None:
        """Forget the ranks of hosts that are no longer there."""
        names = {self._own_name, *(host.name for host in self._others)}
        for ranks in self._ranks.values():
            for name in ranks.keys() - names:
                del ranks[name]


def _identity(host: HostRecord) -> str:
    return f"{host.incarnation} {host.peer_address}"


def _group(organisation: str) -> int:
    return zlib.crc32(organisation.encode()) % OWNER_GROUPS


def _rank(group: int, name: str) -> bytes:
    return hashlib.blake2b(f"{group}|{name}".encode(), digest_size=8).digest()
