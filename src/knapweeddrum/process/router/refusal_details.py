"""Default details of refusals for callers."""

from __future__ import annotations

from knapweeddrum.value.refusal_reason import RefusalReason

DETAIL_BY_REASON = {
    RefusalReason.BAD_REQUEST: "the request is malformed",
    RefusalReason.BODY_TOO_LARGE: "the body is too large",
    RefusalReason.UNAUTHENTICATED: "the key is missing or unknown",
    RefusalReason.UNKNOWN_ROUTE: "there is no such route",
    RefusalReason.KEY_REUSED: "the idempotency key belongs to another request",
    RefusalReason.KEY_EXPIRED: "the idempotency key is too old; use a new one",
    RefusalReason.CLAIM_PENDING: "a request with this key is in progress",
    RefusalReason.BUDGET_EXHAUSTED: "the budget has too few tokens left",
    RefusalReason.BUDGET_UNREACHABLE: "tokens of the budget are not available now",
    RefusalReason.LOG_UNAVAILABLE: "the request cannot be claimed now",
    RefusalReason.OVERLOADED: "too many requests are in progress",
    RefusalReason.DEADLINE: "the deadline passed",
    RefusalReason.DRAINING: "this host is stopping; ask for another address",
    RefusalReason.NOT_READY: "this host is starting",
    RefusalReason.NO_ENDPOINT: "no endpoint of the route is available",
    RefusalReason.ENDPOINT_FAILED: "the endpoint gave no usable answer",
    RefusalReason.OUTCOME_UNKNOWN: "the request was sent once and got no answer",
    RefusalReason.SUSPECTED: "a copy is tried alone, as endpoints crashed",
    RefusalReason.QUARANTINED: "endpoints crashed each time the request ran",
    RefusalReason.PART_QUARANTINED: "endpoints crashed on a part of the prompt",
    RefusalReason.ENDPOINTS_BACK_OFF: "all endpoints want no requests for a while",
    RefusalReason.STREAM_VERSION_UNKNOWN: "where the stream began is not known",
    RefusalReason.STREAM_VERSION_GONE: "the stream can't go on; start it anew",
    RefusalReason.POISONOUS: "the request is suspected of crashing endpoints",
    RefusalReason.TRUNCATED: "the answer is incomplete",
    RefusalReason.MOVED: "the same request is answered elsewhere",
    RefusalReason.BODY_LATE: "the body did not arrive in time",
    RefusalReason.HEAD_TOO_LARGE: "the request headers are too large",
    RefusalReason.TOKENS_HELD_ELSEWHERE: "the last tokens are held by other hosts",
    RefusalReason.ENDPOINTS_LIMITED: "the endpoints take no more requests now",
    RefusalReason.TOKENS_UNKNOWN: "the hosts agree anew on what was spent",
    RefusalReason.INTERNAL_ERROR: "an error in the fleet ended the request",
}
