"""Head of a reply as it was received."""

from __future__ import annotations

import h11

from knapweeddrum.http.exceptions import MalformedReplyError
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.value.body_framing import BodyFraming

MAX_STATUS = 599
BODILESS_STATUSES = frozenset({204, 304})


class RawReplyHead:
    """Status and headers of a reply; names and values are bytes, as received."""

    def __init__(self, status: int, headers: HeaderList, framing: BodyFraming) -> None:
        self.status = status
        self.headers = headers
        self.framing = framing


def raw_reply_head(response: h11.Response, request_method: bytes) -> RawReplyHead:
    """Return the head of a reply; raises MalformedReplyError for an invalid status."""
    status = response.status_code
    if status > MAX_STATUS:
        raise MalformedReplyError(f"status {status} is none")
    headers = HeaderList(response.headers.raw_items())
    return RawReplyHead(status, headers, _framing(response, headers, request_method))


def _framing(
    response: h11.Response, headers: HeaderList, request_method: bytes
) -> BodyFraming:
    if response.status_code in BODILESS_STATUSES or request_method == b"HEAD":
        return BodyFraming.LENGTH
    if response.http_version >= b"1.1" and headers.text(b"transfer-encoding"):
        return BodyFraming.CHUNKS
    if headers.get(b"content-length") is not None:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION
