"""Names of the counters.

docs/COUNTERS.md describes the constants and the counters of each refusal and retry
reason.
"""

from __future__ import annotations

from knapweeddrum.value.answer_end_reason import AnswerEndReason
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason
from knapweeddrum.value.endpoint_notice import EndpointNotice
from knapweeddrum.value.probe_result import ProbeResult
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.start_reply import StartReply

REQUESTS = "requests"
ANSWERED = "answered"
CANCELLED = "cancelled"
SETTLED = "settled"
"""Settlements and returned allowances that a keeper accepted."""
PARTS_DROPPED = "parts_dropped"
"""Parts of model answers that were repeated, followed a gap or were of another run."""
CONTROL_REQUESTS = "control.requests"
ABANDONED = "abandoned"
"""Requests whose caller disconnected before the end of the answer."""
ANSWER_CUT = "answer_cut"
"""Answers that were begun and could not be completed."""
FIRST_ARRIVALS = "arrivals.first"
"""Requests that an entry process sent to a first endpoint."""
REPEATED_ARRIVALS = "arrivals.repeated"
"""Times that an entry process sent a request to a further endpoint."""
CONNECTIONS_OPENED = "connections_opened"
HEARTBEAT_FAILED = "heartbeat_failed"
PART_BLAMED_COUNT = "part.blamed"
"""Parts of prompts that this host began to refuse, as they crash endpoints."""
SESSION_MOVED = "session.moved"
"""Requests placed elsewhere than their session's first endpoint, to start sooner."""
STORE_RETURNED_COUNT = "store_era.returned"
"""Times that the store was found to have come back from an older copy."""
STORE_ERA_DOUBTED_COUNT = "store_era.doubted"
"""Answers of the store that were not believed, for the era that they tell."""
CLAIM_REWRITTEN = "claim.rewritten"
"""Claims that this host wrote again, as an older copy of the store lacked them."""
SIGHTING_ASKED = "sighting.asked"
"""Questions to other hosts whether they live, as heartbeats did not get through."""
PERMIT_WITHHELD = "permit.withheld"
"""Questions for a permit that the owner denied as others may not know that it lives."""
PERMIT_GIVEN = "permit.given"
"""Permits that this host gave for endpoints under a limit, as their owner."""
PERMIT_DENIED = "permit.denied"
"""Questions for a permit that it denied."""
CLAIM_CONFLICT = "claim.conflict"
"""Writes of token claims that failed because another host had written first."""
CLAIM_NOT_WRITTEN = "claim.not_written"
"""Writes of token claims that the store did not carry out."""
CLAIM_UNKNOWN = "claim.unknown"
"""Writes of token claims whose outcome is unknown."""
CLAIM_GIVEN_UP = "claim.given_up"
"""Rounds of token claims that were given up after too many failed writes."""
TUNNEL_OPENED = "tunnel.opened"
"""Connections to endpoints that this host opened through other hosts."""
TUNNEL_FAILED_COUNT = "tunnel.failed"
"""Times that no other host could connect to an endpoint for this one."""
TUNNEL_SERVED = "tunnel.served"
"""Connections to endpoints that this host opened for other hosts."""
TUNNEL_DENIED = "tunnel.denied"
"""Questions for such a connection that it denied."""
ENDPOINT_ENDED = "endpoint.ended"
"""Crashes of endpoints that this entry process found out."""
CRASH_RECORD_NOT_WRITTEN = "crash_record.not_written"
"""Writes of crash records that the store did not acknowledge."""
LINES_DROPPED = "lines_dropped"
"""Log lines that were dropped because the reader was slow or the rate too high."""
LOAN_GIVEN = "loan.given"
"""Loans of tokens to another host."""
LOAN_DENIED = "loan.denied"
"""Requests of another host for a loan to which no tokens were lent."""
LOAN_TAKEN = "loan.taken"
"""Loans of tokens from another host."""
LOAN_RECOVERED = "loan.recovered"
"""Loans of this host that got lost on their way and were taken back."""
LOAN_RETURNED = "loan.returned"
"""Times that this host gave back tokens that it did not need."""
HOST_UNANSWERED = "host.unanswered"
"""Requests to another host that got no usable reply in time."""
HOST_BEHIND_COUNT = "host.behind"
"""Measurements at which this process was behind."""
CONNECTION_SHED_COUNT = "connection.shed"
"""Connections of clients that were ended for the memory or descriptors they held."""
CONNECTION_REFUSED = "connection.refused"
"""Connections that were closed when accepted, as descriptors were used up."""
ACCEPT_FAILED_COUNT = "accept_failed"
"""Times that connections could not be accepted, several in a row as one."""
LISTENER_CLOSED = "link.listener_closed"
"""Times that new connections were turned away, as the link was full."""
LISTEN_FAILED_COUNT = "listen_failed"
"""Times that the address for callers could not be bound again."""
WORKING_SET_CHANGES = "working_set.changed"
"""Times that the hosts changed that callers are sent to."""
TASK_RESTARTED_COUNT = "task.restarted"
"""Times that a task of the process ran again after an error."""
SPENDING_WRITTEN = "spending.written"
"""Records of what this host may spend that the store carried out."""
SPENDING_NOT_WRITTEN = "spending.not_written"
"""Such records that the store did not take, or that got no answer."""
ENTRY_OUTDATED_COUNT = "entry.outdated"
"""Entries of endpoints that the store carried out after what they wrote later."""
ENTRY_IGNORED_COUNT = "entry.ignored"
"""Records of the store that can't be read and were left out."""
CONFIG_REJECTED_COUNT = "config.rejected"
"""Versions of the configuration that can't be read; the one before stays in force."""
MESSAGE_REJECTED_COUNT = "message.rejected"
"""Messages of other hosts, or of operators, that can't be read."""
CLAIM_RECORDS_READ = "claim.records_read"
"""Records of token claims that this process read from the store."""
CLAIM_WRITTEN = "claim.written"
"""Writes of token claims that the store carried out."""

FIXED_COUNTERS: tuple[str, ...] = (
    REQUESTS,
    ANSWERED,
    CANCELLED,
    SETTLED,
    PARTS_DROPPED,
    CONTROL_REQUESTS,
    ABANDONED,
    ANSWER_CUT,
    FIRST_ARRIVALS,
    REPEATED_ARRIVALS,
    CONNECTIONS_OPENED,
    HEARTBEAT_FAILED,
    PART_BLAMED_COUNT,
    SESSION_MOVED,
    STORE_RETURNED_COUNT,
    STORE_ERA_DOUBTED_COUNT,
    CLAIM_REWRITTEN,
    SIGHTING_ASKED,
    PERMIT_WITHHELD,
    PERMIT_GIVEN,
    PERMIT_DENIED,
    CLAIM_CONFLICT,
    CLAIM_NOT_WRITTEN,
    CLAIM_UNKNOWN,
    CLAIM_GIVEN_UP,
    ENDPOINT_ENDED,
    CRASH_RECORD_NOT_WRITTEN,
    LINES_DROPPED,
    LOAN_GIVEN,
    LOAN_DENIED,
    LOAN_TAKEN,
    LOAN_RECOVERED,
    LOAN_RETURNED,
    HOST_UNANSWERED,
    HOST_BEHIND_COUNT,
    ACCEPT_FAILED_COUNT,
    LISTENER_CLOSED,
    LISTEN_FAILED_COUNT,
    CONNECTION_SHED_COUNT,
    CONNECTION_REFUSED,
    WORKING_SET_CHANGES,
    TASK_RESTARTED_COUNT,
    SPENDING_WRITTEN,
    SPENDING_NOT_WRITTEN,
    ENTRY_OUTDATED_COUNT,
    ENTRY_IGNORED_COUNT,
    CONFIG_REJECTED_COUNT,
    MESSAGE_REJECTED_COUNT,
    CLAIM_RECORDS_READ,
    CLAIM_WRITTEN,
    TUNNEL_OPENED,
    TUNNEL_FAILED_COUNT,
    TUNNEL_SERVED,
    TUNNEL_DENIED,
)
"""Counters whose names contain no reason, route kind, status or outcome."""


def refusal_counter(reason: RefusalReason) -> str:
    """Return the name of the counter of a refusal reason."""
    return f"refusal.{reason.value}"


def retry_counter(reason: RetryReason) -> str:
    """Return the name of the counter of a retry reason."""
    return f"retry.{reason.value}"


def control_refusal_counter(reason: ControlRefusalReason) -> str:
    """Return the name of the counter of a refusal by the resource API."""
    return f"control.refusal.{reason.value}"


def answer_end_counter(reason: AnswerEndReason) -> str:
    """Return the name of the counter of answers of endpoints that ended this way."""
    return f"answer_end.{reason.value}"


def connect_counter(result: ProbeResult) -> str:
    """Return the name of the counter of connections to endpoints by their result."""
    return f"endpoint_connect.{result.value}"


def start_reply_counter(reply: StartReply) -> str:
    """Return the name of the counter of an endpoint's replies on its start."""
    return f"endpoint_start.{reply.value}"


def notice_counter(notice: EndpointNotice) -> str:
    """Return the name of the counter of what endpoints said of themselves."""
    return f"endpoint_notice.{notice.value}"


def answer_counter(kind: str, status: int) -> str:
    """Return the name of the counter of answers with a route kind and HTTP status."""
    return f"answered.{kind}.{status}"


def store_counter(call: str, outcome: str) -> str:
    """Return the name of the counter of store calls of a kind with an outcome."""
    return f"store.{call}.{outcome}"
