"""Settings that the platform supplies to an entry process."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.catalog.entry_order import DEFAULT_HEARTBEAT_SECONDS

DEFAULT_MEMORY_BYTES = 1_024_000_000
"""Memory of a host whose settings name none, five times that of a weak one."""

DEFAULT_MAX_DESCRIPTORS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry process; addresses are ``IP:port``, times in seconds."""

    host_name: str
    data_centre: str
    store_address: str
    caller_address: str
    ready_address: str
    directory_address: str | None
    peer_address: str
    """Address at which this process serves other entry hosts."""
    grace_period: float = 8.0
    """Time from the stop signal until the platform kills the process."""
    retry_ratio: float = 0.2
    """Retries that the fleet may send to a service, per request."""
    retry_slack: float = 50.0
    """Retries beyond that ratio that the fleet may send in each ``retry_window``."""
    retry_window: float = 10.0
    directory_lifetime: float = 5.0
    """Longest time for which callers may cache an answer of the directory."""
    stable_window: float = 3.0
    """Time within which all hosts must know that a request crashes endpoints."""
    processor_cores: float = 1.0
    """Processor time that this host has, in cores."""
    link_mbps: float = 1000.0
    """Bandwidth of this host's link, in megabits per second."""
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    """Memory above which the platform kills this process."""
    names_memory: bool = False
    """Whether the platform names that memory."""
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    """Descriptors that this process may have, those of files included."""
    is_first_start: bool = False
    """Whether no process of the fleet has run before."""
    cold_over: float = 1.5
    """Requests that a cold endpoint may get in a second, as a multiple of its ramp."""
    cold_slack: float = 5.0
    """Requests beyond that."""
    drain_delay: float = 2.0
    """Time for which a leaving endpoint still takes requests after its notice."""
    endpoint_heartbeat_interval: float = DEFAULT_HEARTBEAT_SECONDS
    """Interval at which endpoints write their entries."""
