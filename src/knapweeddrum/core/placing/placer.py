"""Choice of an endpoint for one request."""

from __future__ import annotations

import random
from collections.abc import Callable

from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.placement_request import PlacementRequest
from knapweeddrum.core.placing.rendezvous import rendezvous_rank
from knapweeddrum.core.placing.start_placer import DemandShare, StartPlacer

__all__ = ["PlacementRequest", "Placer", "rendezvous_rank"]

LOAD_FACTOR = 1.4
"""Multiple of the mean load up to which an endpoint keeps its sessions."""

LOAD_SLACK_REQUESTS = 8.0
"""Requests that an endpoint may have beyond LOAD_FACTOR times the mean load."""

MAX_PENDING_PROMPT_TOKENS = 24_000
"""Unanswered prompt tokens from this host above which sessions go elsewhere."""

REMOTE_PENALTY_REQUESTS = 0.3
"""Number of requests that the path to another data centre counts as."""

NEW_CONNECTION_PENALTY_REQUESTS = 1.0
"""Number of requests that opening a connection counts as."""


class Placer:
    """Chooses among the endpoints of one service.

    Requests with a session have long prompts that share parts. Rendezvous hashing with
    bounded load keeps a session at its endpoint, and moves only the sessions of an
    endpoint that is gone, unresponsive or overloaded. Other requests are short calls;
    each goes to the endpoint with the lowest load, where another data centre and a new
    connection count as additional load.

    For a service whose endpoints report their work time, a request with a prompt goes
    where it is expected to start early enough (StartPlacer), and the load of a short
    call is multiplied by the work time.
    """

    def __init__(
        self,
        rng: random.Random | None = None,
        demand_share: DemandShare = lambda: None,
        on_move: Callable[[], None] = lambda: None,
    ) -> None:
        """``on_move`` is called when a session is placed elsewhere to start sooner."""
        self._by_start = StartPlacer(rng or random.Random(0), demand_share, on_move)

    def choose(
        self, states: list[EndpointState], req: PlacementRequest, now: float
    ) -> EndpointState | None:
        """Return the endpoint for a request, None if there is none."""
        candidates = [
            state
            for state in states
            if state.entry.endpoint_id not in req.exclude
            and not state.notices.back_off_left(now)
        ]
        usable = [
            state
            for state in candidates
            if state.is_usable(now) and (req.may_probe or not state.is_probing(now))
        ]
        # With no usable endpoint, one that is ejected or unresponsive may still answer.
        eligible = usable or [
            state for state in candidates if not state.is_unresponsive(now)
        ]
        eligible = eligible or candidates
        if not eligible:
            return None
        if any(state.capacity.reports_work_time for state in states):
            if req.prompt.tokens:
                return self._by_start.choose(eligible, req, now)
            if not req.session:
                return self._by_work_time(eligible, req, now)
        if req.session:
            return self._by_session(eligible, req.session, now)
        return min(
            eligible, key=lambda state: (self._cost(state, req, now), _tie_break(state))
        )

    def _by_work_time(
        self, eligible: list[EndpointState], req: PlacementRequest, now: float
    ) -> EndpointState:
        """Return the endpoint where a short call is done first, by load and speed."""

        def cost(state: EndpointState) -> tuple[float, str]:
            work_time = self._by_start.work_time(state, eligible, now)
            return (1.0 + self._cost(state, req, now)) * work_time, _tie_break(state)

        return min(eligible, key=cost)

    def _by_session(
        self, eligible: list[EndpointState], session: str, now: float
    ) -> EndpointState:
        mean = sum(state.load(now) for state in eligible) / len(eligible)
        limit = mean * LOAD_FACTOR + LOAD_SLACK_REQUESTS
        ranked = sorted(
            eligible,
            key=lambda state: rendezvous_rank(session, state.entry.endpoint_id),
            reverse=True,
        )
        for state in ranked:
            fits = state.load(now) <= limit and not state.is_full(now)
            if fits and state.pending_prompt_tokens <= MAX_PENDING_PROMPT_TOKENS:
                return state
        return min(ranked, key=lambda state: (state.load(now), _tie_break(state)))

    def _cost(self, state: EndpointState, req: PlacementRequest, now: float) -> float:
        cost = max(state.load(now), 2.0 * state.in_flight)
        if state.entry.data_centre != req.data_centre:
            cost += REMOTE_PENALTY_REQUESTS
        if state.entry.endpoint_id not in req.connected:
            cost += NEW_CONNECTION_PENALTY_REQUESTS
        return cost


def _tie_break(state: EndpointState) -> str:
    return state.entry.endpoint_id
