"""What this host decides by the hosts that are believed to live."""

from __future__ import annotations

from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import WORKING_SET_CHANGES
from knapweeddrum.telemetry.entry_events import HOSTS_CHANGED, WORKING_SET_CHANGED


class FleetView:
    """Brings all that depends on the host directory up to date, and logs changes."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._ready_names: list[str] = []
        self._members: frozenset[str] = frozenset()

    def refresh(self, now: float) -> None:
        """Follow the host directory after it has changed; ``now`` is monotonic."""
        ctx = self._ctx
        ctx.fleet_size.record(ctx.hosts.running_count(), now)
        ready_hosts = ctx.hosts.ready_hosts()
        ctx.token_owners.set_hosts(ready_hosts)
        ready = [record.name for record in ready_hosts]
        if ready != self._ready_names:
            self._ready_names = ready
            ctx.events.emit(HOSTS_CHANGED, ready=ready)
        self._update_working_set(now)

    def _update_working_set(self, now: float) -> None:
        ctx = self._ctx
        own = None if ctx.draining else ctx.own_record(now)
        ctx.hosts.update_working_set(own, now)
        members = ctx.hosts.working_set.names
        if members == self._members:
            return
        ctx.metrics.count(WORKING_SET_CHANGES)
        ctx.events.emit(
            WORKING_SET_CHANGED,
            size=len(members),
            joined=sorted(members - self._members),
            left=sorted(self._members - members),
            requests_per_second=round(ctx.hosts.others_request_rate(), 1),
        )
        self._members = members
