"""Names of the platform's HTTP headers, in lower case."""

from __future__ import annotations

ATTEMPT_ID = b"attempt-id"
TIME_LEFT = b"deadline-ms"
AUTHORIZATION = b"authorization"
ORGANISATION = b"tenant"
PROMPT_PARTS = b"prompt-prefix"
TOKEN_USAGE = b"token-usage"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
EXPECTED_ENDPOINT = b"expect-instance"
PRIORITY = b"request-priority"
RESPONSE_STAMP = b"response-stamp"
NOT_EXECUTED = b"not-executed"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
SERVER_LOAD = b"server-load"
SERVER_LIMIT = b"server-limit"
STORE_ERA = b"store-era"
CONTENT_TYPE = b"content-type"
CONTENT_ENCODING = b"content-encoding"
CONTENT_LENGTH = b"content-length"

STRIPPED_REQUEST_HEADERS = frozenset(
    {
        AUTHORIZATION,
        CONTENT_LENGTH,
        EXPECTED_ENDPOINT,
        LAST_EVENT_ID,
        ORGANISATION,
        PRIORITY,
        TIME_LEFT,
        b"expect",
        b"expect-version",
        b"hold",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"pin-ms",
    }
)
"""Headers of a caller's request that are not forwarded to endpoints.

The fleet sends its own deadline, endpoint, organisation, priority and last event.
"""

STRIPPED_REPLY_HEADERS = frozenset(
    {SERVER_LOAD, SERVER_LIMIT, NOT_EXECUTED, b"instance-id"}
)
"""Headers of an endpoint's reply that callers don't get."""
