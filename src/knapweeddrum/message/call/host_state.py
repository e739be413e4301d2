"""State of one entry process, shown to operators."""

from __future__ import annotations

import msgspec


class EndpointRow(msgspec.Struct, frozen=True):
    """An endpoint as this host knows it; ``condition`` tells if it gets requests."""

    endpoint: str
    service: str
    address: str
    data_centre: str
    condition: str
    in_flight: int
    """Requests from this host that have no complete answer yet."""
    load: float
    """Requests that run or wait there, as far as this host knows."""
    limit: float | None = None
    """Requests a second that it takes from all hosts, None if it has no limit."""
    cold_left: float | None = None
    """Seconds for which it stays cold; 0 if an entry is yet to tell, None if warm."""
    work_time: float | None = None
    """How long work is expected to take there now, as a multiple of the usual.

    None if the endpoint doesn't report it.
    """
    prefill_speed: float | None = None
    """Learned prompt tokens a second at a work time of 1, None if not known."""
    queued: float = 0.0
    """Seconds until the prompts that this host sent there will have been read."""
    learned_limit: float | None = None
    """Requests in progress above which no sessions move there, None for no such."""
    unreached_for: float | None = None
    """Seconds since this host's connections to it fail, None if the last did not."""
    path_lost: bool = False
    """Whether requests go there through other hosts."""


class BudgetRow(msgspec.Struct, frozen=True):
    """Prepaid tokens of an organisation; ``here`` stands for this host."""

    organisation: str
    prepaid: int
    claimed_by_all: int
    committed_by_all: int
    """Tokens that the hosts had spent or reserved when each last wrote its claim."""
    spent_here: int
    reserved_here: int
    free_here: int
    unopened_here: int
    """Locked tokens: claimed here, but spendable only after the witness consents."""
    lent: int
    borrowed: int
    """Tokens from other hosts; like ``lent`` ones, they are not paid back."""
    witness: str
    """Incarnation whose consent unlocks more tokens, empty for none."""
    in_doubt: bool
    """Whether a conditional write of the claim here has an unknown outcome."""


class EmptiedRow(msgspec.Struct, frozen=True):
    """A data centre that gets no new work."""

    data_centre: str
    age: float
    """Seconds since this host learnt of it."""


class CrashRow(msgspec.Struct, frozen=True):
    """A request under which endpoints crashed."""

    fingerprint: str
    crashes: int
    blamed: bool
    """Whether the request is refused without being run."""
    age: float
    """Seconds since the last crash."""


class HostState(msgspec.Struct, frozen=True):
    """State of this host; ages are seconds since its last read, None for never."""

    host: str
    incarnation: str
    ready: bool
    draining: bool
    requests_in_progress: int
    config_version: int | None
    config_age: float | None
    service_list_age: float | None
    hosts_age: float | None
    claims_end: int
    """Log offset up to which the token claims of all hosts have been read."""
    ready_hosts: list[str]
    endpoints: list[EndpointRow]
    budgets: list[BudgetRow]
    crashes: list[CrashRow] = []
    working_set: list[str] = []
    """Names of the hosts that callers are sent to."""
    capacity: float = 0.0
    """Requests per second that this host can carry."""
    request_rate: float = 0.0
    """Requests per second that it received lately."""
    client_bytes: int = 0
    """Bytes held for callers and clients of pages."""
    most_client_bytes: int = 0
    """The largest sum of these since the process started."""
    client_bytes_limit: int = 0
    caller_connections: int = 0
    caller_connections_limit: int = 0
    page_connections: int = 0
    page_connections_limit: int = 0
    refused_connections: int = 0
    """Connections closed when accepted since the process started."""
    store_era: int = 0
    """Era of the store, counted from 1; 0 if the store tells none."""
    claims_open: bool = True
    """Whether tokens may be claimed in that era."""
    missing_hosts: list[str] = []
    """Incarnations that claims wait for after a return of the store."""
    link_use: float = 0.0
    """Part of the link's incoming rate that received bytes took lately."""
    link_behind: float = 0.0
    """Seconds of the link's rate by which it is behind, see ``LinkLoad``."""
    sheds_for: float | None = None
    """Seconds since when new connections are turned away at times, None if not."""
    emptied: list[EmptiedRow] = []
    cut_off: bool = False
    """Whether this host reaches no endpoint but through other hosts."""
    paths_lost: int = 0
    """Endpoints that other hosts reach and this one does not."""
    tunnel_sockets: int = 0
    """Sockets by which it connects other hosts to endpoints, two for each."""
