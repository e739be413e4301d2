"""Catalogue of the entry process's log events, 6xx; see ``events``."""

from __future__ import annotations

from knapweeddrum.telemetry.event import Event

REQUEST_REFUSED = Event(
    600,
    "request_refused",
    "info",
    (
        "request",
        "reason",
        "status",
        "run_state",
        "retry_after",
        "detail",
        "route",
        "organisation",
        "config_version",
        "after_ms",
    ),
)
REQUEST_SENT = Event(
    601,
    "request_sent",
    "info",
    (
        "request",
        "fingerprint",
        "route",
        "organisation",
        "service",
        "endpoint",
        "software_version",
        "resumes",
        "after_event",
        "attempt",
        "load",
        "list_version",
        "list_age_ms",
        "config_version",
        "tokens",
        "time_left_ms",
    ),
)
ATTEMPT_FAILED = Event(
    602,
    "attempt_failed",
    "warning",
    (
        "request",
        "endpoint",
        "via",
        "reason",
        "run_state",
        "error",
        "framing",
        "rest_bytes",
        "after_ms",
    ),
)
REQUEST_ANSWERED = Event(
    603,
    "request_answered",
    "info",
    (
        "request",
        "endpoint",
        "via",
        "status",
        "framing",
        "rest_bytes",
        "first_ms",
        "total_ms",
        "tokens_spent",
    ),
)
REQUEST_ABANDONED = Event(
    604, "request_abandoned", "info", ("request", "after_ms", "sent", "tokens_spent")
)
STREAM_RESUMED = Event(
    605,
    "stream_resumed",
    "info",
    ("request", "endpoint", "software_version", "after_event"),
)
ANSWER_CUT = Event(
    606, "answer_cut", "warning", ("request", "reason", "after_ms", "tokens_spent")
)
REQUEST_RETRIED = Event(
    607,
    "request_retried",
    "info",
    ("request", "service", "reason", "retries_left", "retries_limit", "hosts"),
)
ENDPOINT_ENDED = Event(
    608,
    "endpoint_ended",
    "error",
    ("endpoint", "service", "sign", "after_ms", "requests", "fingerprints"),
)
ENDPOINT_EXAMINED = Event(
    628, "endpoint_examined", "info", ("endpoint", "cause", "open_for_ms", "answered")
)
STREAM_ORIGIN_SOUGHT = Event(
    629,
    "stream_origin_sought",
    "info",
    ("request", "resumes", "source", "service", "software_version"),
)
ENDPOINT_NOTICE = Event(
    630, "endpoint_notice", "info", ("endpoint", "service", "notice", "seconds")
)
ENDPOINT_START_ASKED = Event(
    631, "endpoint_start_asked", "info", ("endpoint", "reply", "listed_start_ms")
)
ENDPOINT_LIMIT = Event(
    644,
    "endpoint_limit",
    "warning",
    ("endpoint", "service", "per_second", "status", "not_run", "sent_before"),
)
PERMITS_OWNED = Event(
    646, "permits_owned", "info", ("instance", "owned", "owner", "ready")
)
VERSIONS_RECALLED = Event(
    632,
    "versions_recalled",
    "info",
    ("outcome", "from_offset", "to_offset", "services"),
)
CRASHES_COUNTED = Event(
    609, "crashes_counted", "warning", ("fingerprint", "crashes", "blamed", "source")
)
CRASHES_CLEARED = Event(627, "crashes_cleared", "info", ("fingerprint",))
PART_BLAMED = Event(645, "part_blamed", "error", ("part", "crashes", "seconds", "rank"))
CONFIG_APPLIED = Event(
    610, "config_applied", "info", ("version", "previous", "offset", "routes")
)
CONFIG_REJECTED = Event(611, "config_rejected", "warning", ("offset", "error"))
ENTRY_IGNORED = Event(614, "entry_ignored", "warning", ("key", "offset", "error"))
PREDECESSOR_READ = Event(
    650,
    "predecessor_read",
    "info",
    ("holder", "seconds", "same_era", "organisations"),
)
MESSAGE_REJECTED = Event(649, "message_rejected", "warning", ("path", "error"))
HEARTBEATS_LOST = Event(647, "heartbeats_lost", "warning", ("error", "written_before"))
HEARTBEATS_WRITTEN = Event(648, "heartbeats_written", "info", ("written_before",))
HOSTS_CHANGED = Event(615, "hosts_changed", "info", ("ready",))
CONNECTION_SHED = Event(
    680,
    "connection_shed",
    "warning",
    (
        "connection",
        "reason",
        "phase",
        "held",
        "for_ms",
        "held_by_all",
        "unlogged",
    ),
)
CONNECTIONS_REFUSED = Event(
    681, "connections_refused", "warning", ("refused", "callers", "pages")
)
ACCEPT_FAILED = Event(637, "accept_failed", "error", ("error",))
WORKING_SET_CHANGED = Event(
    636,
    "working_set_changed",
    "info",
    ("size", "joined", "left", "requests_per_second"),
)
TOKENS_CLAIMED = Event(
    616, "tokens_claimed", "info", ("offset", "claims", "lost_before")
)
CLAIM_FAILED = Event(
    617, "claim_failed", "info", ("ledger_end", "error", "lost_in_row")
)
STORE_RETURNED = Event(
    638,
    "store_returned",
    "error",
    ("before", "era", "running", "is_fresh", "claims_end"),
)
STORE_ERA_DOUBTED = Event(639, "store_era_doubted", "warning", ("reason",))
CLAIMS_CHECKED_IN = Event(
    640, "claims_checked_in", "info", ("era", "claims", "consents", "running")
)
CLAIMS_OPENED = Event(
    641,
    "claims_opened",
    "warning",
    ("era", "rewritten", "missing", "skipped", "after_ms"),
)
CLAIMS_ADOPTED = Event(642, "claims_adopted", "info", ("era", "end", "after_ms"))
CLAIMS_SUSPENDED = Event(643, "claims_suspended", "error", ("era", "missing", "for_ms"))
DATA_CENTRE_EMPTIED = Event(
    661, "data_centre_emptied", "warning", ("data_centre", "offset", "told_by")
)
DATA_CENTRE_TAKEN_BACK = Event(
    662, "data_centre_taken_back", "warning", ("data_centre", "offset", "told_by")
)
ENDPOINT_COLD = Event(663, "endpoint_cold", "info", ("endpoint", "service", "seconds"))
ENDPOINT_UNREACHED = Event(
    690,
    "endpoint_unreached",
    "warning",
    ("endpoint", "result", "error", "unreached", "listed"),
)
ENDPOINT_REACHED = Event(
    691, "endpoint_reached", "info", ("endpoint", "failed_for", "unreached")
)
PATH_LOST = Event(692, "path_lost", "warning", ("endpoint", "failed_for", "lost"))
PATH_RESTORED = Event(693, "path_restored", "info", ("endpoint", "after", "lost"))
HOST_CUT_OFF = Event(694, "host_cut_off", "error", ("lost",))
HOST_REACHES_ENDPOINTS = Event(695, "host_reaches_endpoints", "info", ("after", "lost"))
TUNNEL_REFUSED = Event(696, "tunnel_refused", "info", ("host", "endpoint", "reason"))
TUNNELS_GIVEN_UP = Event(697, "tunnels_given_up", "warning", ("host", "connections"))
SETTINGS_RELOADED = Event(618, "settings_reloaded", "info", ("changed",))
SETTINGS_REJECTED = Event(619, "settings_rejected", "error", ("error",))
TOKENS_LENT = Event(
    622, "tokens_lent", "info", ("organisation", "shortfall", "tokens", "free")
)
TOKENS_BORROWED = Event(
    623, "tokens_borrowed", "info", ("organisation", "lender", "tokens", "free")
)
TOKENS_RETURNED = Event(
    635, "tokens_returned", "info", ("organisation", "owner", "tokens", "is_known")
)
HOST_UNANSWERED = Event(
    624, "host_unanswered", "info", ("host", "question", "error", "ended")
)
OPENING_REFUSED = Event(625, "opening_refused", "info", ("organisation", "witness"))
TOKENS_FREED = Event(626, "tokens_freed", "info", ("organisation", "holder", "kept"))
HOST_BEHIND = Event(
    633,
    "host_behind",
    "warning",
    ("lag_ms", "processor_ms", "claims_ms", "in_progress"),
)
HOST_CAUGHT_UP = Event(634, "host_caught_up", "info", ())
LINK_FULL = Event(
    670, "link_full", "warning", ("bytes_per_second", "bound", "closings", "seconds")
)
LINK_HAS_ROOM = Event(
    671, "link_has_room", "info", ("bytes_per_second", "bound", "closings", "seconds")
)
STORE_CALL_FAILED = Event(
    673,
    "store_call_failed",
    "info",
    (
        "call",
        "stream",
        "outcome",
        "error",
        "after_ms",
        "received_bytes",
        "on_new_connection",
        "asked_twice",
        "config_age_ms",
        "lag_ms",
        "link_behind",
        "link_bytes_per_second",
    ),
)
LISTEN_FAILED = Event(672, "listen_failed", "error", ("error",))
LINES_DROPPED = Event(620, "lines_dropped", "warning", ("lines",))
STOPPED_IN_PROGRESS = Event(
    621, "stopped_in_progress", "error", ("requests", "ids", "claims_returned")
)
SIGNAL_RECEIVED = Event(
    651, "signal_received", "info", ("signal", "draining", "in_progress")
)
CONNECTIONS_ENDED = Event(
    652, "connections_ended", "info", ("open", "unanswered", "receiving")
)
