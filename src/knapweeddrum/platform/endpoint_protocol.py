"""Encodes the headers of requests to endpoints and decodes those of the replies."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.back_off import BackOff
from knapweeddrum.core.placing.load_report import LoadReport
from knapweeddrum.core.placing.named_limit import NamedLimit
from knapweeddrum.http.header_list import Header
from knapweeddrum.http.raw_reply_head import RawReplyHead
from knapweeddrum.platform import header_names as names
from knapweeddrum.platform.caller_request import CallerRequest
from knapweeddrum.platform.retry_after import decode_back_off
from knapweeddrum.platform.server_limit import decode_server_limit
from knapweeddrum.value.answer_format import AnswerFormat
from knapweeddrum.value.body_framing import BodyFraming
from knapweeddrum.value.whole_number import parse_whole_number

LOWEST_PRIORITY = 9
MOVED_STATUS = 421
REFUSED_STATUS = 503
EVENT_STREAM_TYPE = "text/event-stream"
LOAD_FIGURE_COUNTS = (3, 4)
"""Figures of a load report; a fourth one tells how long work takes."""
USUAL_WORK_TIME = 100
"""Fourth figure of an endpoint whose work takes as long as usual."""
METHODS_WITHOUT_BODY = frozenset({b"GET", b"HEAD", b"DELETE"})


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReplyHead:
    """Decoded status and headers of an endpoint's reply."""

    status: int
    attempt_id: str
    stamped: bool
    """Whether the reply has the stamp that marks it as made by the endpoint."""
    has_content_encoding: bool
    """Whether the body is encoded, so is not what the endpoint generated."""
    not_run: bool
    """Whether the endpoint states that it did not run the request."""
    moved: bool
    """Whether another endpoint than the expected one serves the address."""
    load: LoadReport | None
    has_malformed_load: bool
    """Whether it reports a load that can't be read."""
    limit: NamedLimit
    leaving: bool
    """Whether the endpoint says that it leaves."""
    back_off: BackOff | None
    """How long it wants no requests, None unless it turns one away and says so."""
    framing: BodyFraming
    format: AnswerFormat
    headers: list[Header]
    """Headers that are passed on to the caller."""


def request_headers(
    req: CallerRequest,
    entry: EndpointEntry,
    organisation: str | None,
    priority: int,
    time_left: float,
    resume_after: str,
    body_size: int,
) -> list[Header]:
    """Return the headers of a request to an endpoint.

    ``time_left`` is in seconds, ``body_size`` in bytes; ``resume_after`` is the
    identifier of the last event received, or empty.
    """
    headers = req.headers.end_to_end(names.STRIPPED_REQUEST_HEADERS)
    milliseconds = max(1, int(time_left * 1000))
    headers.append((b"Deadline-Ms", str(milliseconds).encode()))
    headers.append((b"Expect-Instance", entry.endpoint_id.encode()))
    if organisation is not None:
        headers.append((b"Tenant", organisation.encode()))
    if req.prompt is not None:
        clamped_priority = min(LOWEST_PRIORITY, max(0, priority))
        headers.append((b"Request-Priority", str(clamped_priority).encode()))
    if resume_after:
        headers.append((b"Last-Event-Id", resume_after.encode("latin-1")))
    if body_size or req.method not in METHODS_WITHOUT_BODY:
        headers.append((b"Content-Length", str(body_size).encode()))
    return headers


def decode_reply_head(head: RawReplyHead) -> EndpointReplyHead:
    """Decode the status and headers of an endpoint's reply."""
    headers = head.headers
    load_text = headers.text(names.SERVER_LOAD)
    load = _decode_load(load_text)
    return EndpointReplyHead(
        status=head.status,
        attempt_id=headers.text(names.ATTEMPT_ID),
        stamped=headers.get(names.RESPONSE_STAMP) is not None,
        has_content_encoding=headers.get(names.CONTENT_ENCODING) is not None,
        not_run=headers.get(names.NOT_EXECUTED) is not None,
        moved=head.status == MOVED_STATUS,
        leaving=headers.text(names.SERVER_LEAVING).strip() == "1",
        back_off=decode_back_off(headers) if head.status == REFUSED_STATUS else None,
        limit=decode_server_limit(headers),
        load=load,
        has_malformed_load=load is None and bool(load_text),
        framing=head.framing,
        format=_decode_format(headers.text(names.CONTENT_TYPE)),
        headers=headers.end_to_end(names.STRIPPED_REPLY_HEADERS),
    )


def refusal_headers(attempt_id: str, retry_after: float | None) -> list[Header]:
    """Return the headers of a refusal sent by the fleet; ``retry_after`` in seconds."""
    headers: list[Header] = [(b"Content-Type", b"application/problem+json")]
    if attempt_id:
        headers.append((b"Attempt-Id", attempt_id.encode("latin-1")))
    if retry_after is not None:
        headers.append((b"Retry-After", f"{retry_after:.3f}".encode()))
    return headers


def _decode_format(content_type: str) -> AnswerFormat:
    if not content_type:
        return AnswerFormat.UNSTATED
    is_stream = content_type.lower().startswith(EVENT_STREAM_TYPE)
    return AnswerFormat.EVENTS if is_stream else AnswerFormat.OTHER


def _decode_load(value: str) -> LoadReport | None:
    """Return the load that three or four figures report, None for any other text."""
    figures = [parse_whole_number(part) for part in value.split(",")]
    known = [figure for figure in figures if figure is not None]
    if len(known) != len(figures) or len(known) not in LOAD_FIGURE_COUNTS:
        return None
    running, waiting, slots, *rest = known
    work_time = rest[0] / USUAL_WORK_TIME if rest else None
    return LoadReport(running, waiting, slots, work_time)
