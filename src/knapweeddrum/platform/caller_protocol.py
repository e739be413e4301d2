"""Decodes callers' requests."""

from __future__ import annotations

import math

from knapweeddrum.http.exceptions import MalformedRequestError
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.http.server_connection import ReceivedRequest
from knapweeddrum.platform import header_names as names
from knapweeddrum.platform.caller_request import CallerRequest, PromptMetadata
from knapweeddrum.value.whole_number import parse_whole_number

BEARER_PREFIX = "bearer "


MAX_PARTS = 16
"""Parts of a prompt that may be found to crash endpoints, from the first on."""

MAX_PART_CHARS = 64


def decode_request(received: ReceivedRequest) -> CallerRequest:
    """Decode the target and headers of a request; raises MalformedRequestError."""
    headers = received.headers
    host_name = headers.text(b"host").rpartition(":")[0] or headers.text(b"host")
    path = received.target.decode("latin-1").partition("?")[0]
    if not path.startswith("/"):
        raise MalformedRequestError(400, "request target is not a path")
    return CallerRequest(
        attempt_id=headers.text(names.ATTEMPT_ID),
        host_name=host_name.lower(),
        method=received.method,
        target=received.target,
        path=path,
        headers=headers,
        api_key=_api_key(headers),
        time_left=_time_left(headers),
        prompt=_prompt_metadata(headers),
        resume_after=headers.text(names.LAST_EVENT_ID),
        resumed_attempt=headers.text(names.RESUMES),
    )


def _api_key(headers: HeaderList) -> str | None:
    value = headers.text(names.AUTHORIZATION)
    if not value.lower().startswith(BEARER_PREFIX):
        return None
    return value[len(BEARER_PREFIX) :].strip()


def _time_left(headers: HeaderList) -> float | None:
    value = headers.get(names.TIME_LEFT)
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError as exc:
        raise MalformedRequestError(400, "Deadline-Ms header is not a number") from exc
    if not math.isfinite(milliseconds) or milliseconds < 0:
        raise MalformedRequestError(400, "Deadline-Ms header is negative or not finite")
    return milliseconds / 1000


def _prompt_metadata(headers: HeaderList) -> PromptMetadata | None:
    usage = headers.get(names.TOKEN_USAGE)
    if usage is None:
        return None
    first, _, second = usage.decode("latin-1").partition(",")
    input_tokens = parse_whole_number(first)
    output_limit = parse_whole_number(second)
    if input_tokens is None or output_limit is None:
        raise MalformedRequestError(400, "Token-Usage header is not two integers")
    parts = _parts(headers)
    shared = parts[:-1]
    session = shared[-1][0] if shared else parts[0][0]
    return PromptMetadata(
        input_tokens,
        output_limit,
        session,
        tuple(identifier for identifier, _ in shared[:MAX_PARTS]),
        tuple(tokens for _, tokens in shared[:MAX_PARTS]),
    )


def _parts(headers: HeaderList) -> list[tuple[str, int]]:
    """Return the prompt's parts and their tokens, one that is empty for no header.

    The Prompt-Prefix header lists the parts as ``identifier:tokens``; the last of
    several parts belongs to this request alone.
    """
    parts = []
    for part in headers.text(names.PROMPT_PARTS).split(","):
        identifier, _, tokens = part.strip().partition(":")
        count = parse_whole_number(tokens)
        parts.append((identifier[:MAX_PART_CHARS], count or 0))
    return parts
