"""A decoded request of a caller."""

from __future__ import annotations

import dataclasses

from knapweeddrum.http.header_list import HeaderList


@dataclasses.dataclass(frozen=True, slots=True)
class PromptMetadata:
    """Size of a prompt in tokens, and the session that it belongs to."""

    input_tokens: int
    output_limit: int
    session: str
    """Identifier of the last prompt part that the session shares, empty if none."""
    parts: tuple[str, ...] = ()
    """Identifiers of the parts that requests share, in order; none of the last one."""
    part_tokens: tuple[int, ...] = ()
    """Tokens of these parts, 0 for one whose number can't be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request; ``time_left`` is in seconds, None if the caller set no deadline."""

    attempt_id: str
    host_name: str
    method: bytes
    target: bytes
    path: str
    headers: HeaderList
    api_key: str | None
    time_left: float | None
    prompt: PromptMetadata | None
    resume_after: str
    """Identifier of the last event that the caller received, empty if none."""
    resumed_attempt: str
    """Id of the attempt that brought the first event of a stream that the caller takes
    up again, empty if none."""
