"""Choice of an endpoint for one request."""

from __future__ import annotations

import dataclasses
import hashlib

from knapweeddrum.core.placing.endpoint_state import EndpointState

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


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What the choice for one request depends on."""

    session: str = ""
    """Shared part of the prompt that an endpoint may have cached, empty for none."""
    data_centre: str = ""
    exclude: frozenset[str] = frozenset()
    connected: frozenset[str] = frozenset()
    """Ids of the endpoints that this host has an idle connection to.

    They matter only to a request without a session.
    """
    may_probe: bool = True
    """Whether the request may test if an ejected endpoint has recovered."""


class Placer:
    """Chooses among the endpoints of one service.

    Requests with a session have long prompts that share parts. Rendezvous hashing with
    bounded load keeps a session at its endpoint, and moves only the sessions of an
    endpoint that is gone, unresponsive or overloaded. Other requests are short calls;
    each goes to the endpoint with the lowest load, where another data centre and a new
    connection count as additional load.
    """

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
        if req.session:
            return self._by_session(eligible, req.session, now)
        return min(
            eligible, key=lambda state: (self._cost(state, req, now), _tie_break(state))
        )

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


def rendezvous_rank(session: str, endpoint_id: str) -> bytes:
    """Return the rank of an endpoint for a session; the highest rank is preferred."""
    return hashlib.blake2b(f"{session}|{endpoint_id}".encode(), digest_size=8).digest()


def _tie_break(state: EndpointState) -> str:
    return state.entry.endpoint_id
