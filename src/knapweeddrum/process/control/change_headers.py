"""The HTTP headers of a change request."""

from __future__ import annotations

import re
import uuid

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.header import Header
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.problems import invalid

CHANGE_ID_HEADER = "x-change-id"
AUTHOR_HEADER = "x-author"
CHANGE_ID_PATTERN = r"[A-Za-z0-9._:-]{1,128}"
AUTHOR_LENGTH_LIMIT = 64


def change_id(req: ApiRequest) -> str:
    """Return the change's identifier, generated if absent; raises ProblemError."""
    given = req.header(CHANGE_ID_HEADER)
    if not given:
        return uuid.uuid4().hex
    if not re.fullmatch(CHANGE_ID_PATTERN, given):
        error = FieldError(CHANGE_ID_HEADER, given[:128], CHANGE_ID_PATTERN)
        raise invalid(InvalidDocumentError((error,)))
    return given


def author(req: ApiRequest) -> str:
    """Return the author that the request names, truncated; it is not verified."""
    return req.header(AUTHOR_HEADER)[:AUTHOR_LENGTH_LIMIT]


def change_id_header(value: str) -> tuple[Header, ...]:
    """Return the response header with the change's identifier."""
    return (Header(CHANGE_ID_HEADER, value),)
