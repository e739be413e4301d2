"""State page of an entry process, for operators."""

from __future__ import annotations

import math
import time

import msgspec

from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.message.call.host_state import (
    BudgetRow,
    CrashRow,
    EmptiedRow,
    EndpointRow,
    HostState,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.value.store_position import offset_of

STATE_PATH = b"/state"


class HostStatePage:
    """Serves the state of this host as a JSON encoded HostState."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx

    async def state(self, _body: bytes) -> PageAnswer:
        """Return the current state."""
        return PageAnswer(200, msgspec.json.encode(self._state(time.monotonic())))

    def _state(self, now: float) -> HostState:
        ctx = self._ctx
        configuration = ctx.configuration
        held = ctx.connections
        own = ctx.own_record(now)
        return HostState(
            host=ctx.settings.host_name,
            incarnation=ctx.incarnation,
            ready=ctx.is_ready,
            draining=ctx.draining,
            requests_in_progress=ctx.in_progress,
            config_version=configuration.version if configuration else None,
            config_age=_age(ctx.configuration_read_at, now),
            service_list_age=_age(ctx.service_list_read_at, now),
            hosts_age=_age(ctx.hosts_read_at, now),
            claims_end=offset_of(ctx.token_accounts.ledger.end),
            store_era=ctx.claim_recovery.era,
            claims_open=ctx.claim_recovery.is_open,
            missing_hosts=ctx.claim_recovery.missing(),
            ready_hosts=[record.name for record in ctx.hosts.ready_hosts()],
            endpoints=self._endpoints(now),
            budgets=self._budgets(now),
            crashes=self._crashes(time.time()),
            working_set=sorted(ctx.hosts.working_set.names),
            capacity=own.capacity,
            request_rate=own.request_rate,
            link_use=round(ctx.link_load.use(now), 3),
            link_behind=round(ctx.link_load.level(now), 3),
            sheds_for=_sheds_for(ctx, now),
            emptied=[
                EmptiedRow(name, round(now - since, 3))
                for name, since in ctx.emptied.emptied_since().items()
            ],
            cut_off=own.cut_off,
            paths_lost=len(ctx.reach.lost_paths()),
            tunnel_sockets=ctx.pool.reserved,
            client_bytes=held.memory.used,
            most_client_bytes=held.memory.most_used,
            client_bytes_limit=held.memory.limit,
            caller_connections=held.callers.count,
            caller_connections_limit=held.callers.limit,
            page_connections=held.pages.count,
            page_connections_limit=held.pages.limit,
            refused_connections=held.callers.refused + held.pages.refused,
        )

    def _endpoints(self, now: float) -> list[EndpointRow]:
        states = self._ctx.endpoint_states.all()
        return [self._endpoint(state, now) for state in states]

    def _endpoint(self, state: EndpointState, now: float) -> EndpointRow:
        limits = self._ctx.endpoint_limits
        instance = instance_name(state.entry)
        capacity = state.capacity
        learned = capacity.limit.limit(now)
        work_time = None
        if capacity.reports_work_time:
            work_time = round(capacity.work_time.current(1.0, now), 2)
        return EndpointRow(
            endpoint=state.entry.endpoint_id,
            service=state.entry.service,
            address=state.entry.address,
            data_centre=state.entry.data_centre,
            condition=state.condition(now),
            in_flight=state.in_flight,
            load=state.load(now),
            limit=limits.limit(instance, now),
            cold_left=limits.cold.cold_left(instance, now),
            work_time=work_time,
            prefill_speed=capacity.speed.tokens_per_second(now),
            queued=round(capacity.queue.own_seconds(now), 3),
            unreached_for=_rounded(self._ctx.reach.unreached_for(instance, now)),
            path_lost=self._ctx.reach.is_path_lost(instance),
            learned_limit=None if math.isinf(learned) else round(learned, 1),
        )

    def _crashes(self, now: float) -> list[CrashRow]:
        register = self._ctx.crash_register
        return [
            CrashRow(
                fingerprint=fingerprint,
                crashes=register.crash_count(fingerprint, now),
                blamed=register.is_blamed(fingerprint, now),
                age=round(now - register.last_crash_at(fingerprint), 3),
            )
            for fingerprint in register.fingerprints(now)
        ]

    def _budgets(self, now: float) -> list[BudgetRow]:
        token_accounts = self._ctx.token_accounts
        rows = []
        for organisation in token_accounts.prepaid_organisations():
            account = token_accounts.account(organisation, now)
            row = BudgetRow(
                organisation=organisation,
                prepaid=token_accounts.prepaid(organisation),
                claimed_by_all=token_accounts.ledger.claimed(organisation),
                committed_by_all=token_accounts.ledger.committed(organisation),
                spent_here=account.spent,
                reserved_here=account.reserved,
                free_here=account.free,
                unopened_here=account.locked,
                lent=account.lent_tokens,
                borrowed=account.borrowed_tokens,
                witness=account.witness,
                in_doubt=account.unresolved_write is not None,
            )
            rows.append(row)
        return rows


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


def _sheds_for(ctx: EntryContext, now: float) -> float | None:
    since = ctx.link_load.shedding_since
    return None if since is None else round(now - since, 3)


def _age(read_at: float, now: float) -> float | None:
    return None if math.isinf(read_at) else round(now - read_at, 3)
