"""Simulated network between hosts and log."""

from __future__ import annotations

from tools.budget_model.host import HOSTS, Host


class Network:
    """Tracks partitioned data centres, hosts that are down, and outages of the log.

    A partitioned data centre reaches neither the log nor hosts in other ones.
    """

    def __init__(self) -> None:
        self.is_log_down = False
        self._partitioned: set[str] = set()
        self._down: set[Host] = set()
        self._lost_since: dict[tuple[Host, Host], float] = {}

    def set_partitioned(
        self, data_centre: str, is_partitioned: bool, now: float
    ) -> None:
        """Start or end a partition of a data centre."""
        _set_member(self._partitioned, data_centre, is_partitioned)
        self._record_losses(now)

    def set_down(self, host: Host, is_down: bool, now: float) -> None:
        """Record that a host's keeper has ended or started."""
        _set_member(self._down, host, is_down)
        self._record_losses(now)

    def is_linked(self, one: Host, other: Host) -> bool:
        """Return whether packets pass between two hosts."""
        if one.data_centre == other.data_centre:
            return True
        return not {one.data_centre, other.data_centre} & self._partitioned

    def is_down(self, host: Host) -> bool:
        """Return whether a host has no running keeper."""
        return host in self._down

    def reaches_log(self, host: Host) -> bool:
        """Return whether a host reaches the log."""
        return not self.is_log_down and host.data_centre not in self._partitioned

    def lost_since(self, one: Host, other: Host) -> float | None:
        """Return the time (s) at which one lost contact with the other, or None."""
        return self._lost_since.get((one, other))

    def _record_losses(self, now: float) -> None:
        for one in HOSTS:
            for other in HOSTS:
                if self.is_linked(one, other) and not self.is_down(other):
                    self._lost_since.pop((one, other), None)
                else:
                    self._lost_since.setdefault((one, other), now)


def _set_member(members: set, member: object, is_in: bool) -> None:
    if is_in:
        members.add(member)
    else:
        members.discard(member)
