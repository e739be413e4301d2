"""Catalogue of the log events; docs/EVENTS.md describes each.

Numbers: 1xx all processes, 2xx router, 3xx keeper, 4xx control process, 5xx
command-line client (none so far). Those of the entry process, 6xx, stand in
``entry_events`` and ``service_list_events``.
"""

from __future__ import annotations

from knapweeddrum.telemetry.event import Event

# All processes

PROCESS_STARTED = Event(100, "process_started", "info", ("binary", "host", "build"))
PROCESS_STOPPED = Event(101, "process_stopped", "info", ("binary",))
DRAIN_STARTED = Event(102, "drain_started", "info", ("in_progress",))
DRAIN_FINISHED = Event(103, "drain_finished", "info", ())
PEER_REJECTED = Event(104, "peer_rejected", "warning", ("mismatch", "method"))
WAITING = Event(105, "waiting", "warning", ("dependency", "error"))
DEPENDENCY_READY = Event(106, "dependency_ready", "info", ("dependency",))
TASK_FAILED = Event(107, "task_failed", "error", ("task", "error"))

# Router

CONFIG_IN_FORCE = Event(200, "config_in_force", "info", ("offset",))
USAGE_PENDING = Event(201, "usage_pending", "warning", ("run_id", "endpoint", "error"))
USAGE_LOST = Event(202, "usage_lost", "error", ("run_id", "endpoint"))
OUTCOME_LATE = Event(203, "outcome_late", "warning", ("claim_key",))
STOPPED_UNSETTLED = Event(
    204, "stopped_unsettled", "error", ("runs", "settlements", "outcomes")
)
ENDPOINT_CRASHED = Event(205, "endpoint_crashed", "error", ("endpoint", "requests"))

# Keeper

LOG_LOST = Event(300, "log_lost", "warning", ("stream", "error"))
LOG_REACHED = Event(301, "log_reached", "info", ("stream",))
STREAM_READY = Event(302, "stream_ready", "info", ("stream", "offset"))
SUPERSEDED = Event(303, "superseded", "warning", ("incarnation",))
STATE_JUMPED = Event(304, "state_jumped", "warning", ("stream", "offset"))
CHECKPOINT_WRITTEN = Event(
    305, "checkpoint_written", "info", ("stream", "covers", "parts")
)
GRANT_RELEASED = Event(306, "grant_released", "warning", ("grant", "budget", "opened"))

# Control

CONTROL_REFUSED = Event(
    400, "control_refused", "info", ("reason", "method", "path", "run_state")
)
