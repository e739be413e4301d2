"""The request headers that the router reads, with their validation."""

from __future__ import annotations

import dataclasses
import math
import re
from collections.abc import Iterable

from knapweeddrum.process.router.exceptions import refused
from knapweeddrum.value.priority import Priority
from knapweeddrum.value.refusal_reason import RefusalReason

IDENTIFIER_PATTERN = re.compile(r"[A-Za-z0-9._:@~-]{1,128}")
"""Pattern of request identifiers and idempotency keys."""

BUDGET_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")

CONTENT_TYPE_PATTERN = re.compile(r"[ -~]{0,256}")

LONGEST_DEADLINE_SECONDS = 3600.0
DEFAULT_BUDGET = "main"

_PRIORITIES = {priority.name.lower(): priority for priority in Priority}


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Validated headers; empty strings stand for absent ones.

    ``key`` authenticates the caller; ``deadline`` is in seconds from now.
    """

    key: str
    request_id: str
    idempotency_key: str
    budget: str
    deadline: float | None
    priority: Priority
    content_type: str

    @classmethod
    def parse(
        cls, pairs: Iterable[tuple[bytes, bytes]], limit_bytes: int
    ) -> CallerHeaders:
        """Return the validated headers.

        Raises RefusedError for headers of more than ``limit_bytes`` in total, a
        repeated header or an invalid value.
        """
        values = _read_values(pairs, limit_bytes)
        return cls(
            key=_bearer_key(values.get("authorization", "")),
            request_id=_checked_value(values, "x-request-id", IDENTIFIER_PATTERN),
            idempotency_key=_checked_value(
                values, "idempotency-key", IDENTIFIER_PATTERN
            ),
            budget=_checked_value(values, "knapweed-budget", BUDGET_PATTERN)
            or DEFAULT_BUDGET,
            deadline=_deadline(values.get("knapweed-deadline", "")),
            priority=_priority(values.get("knapweed-priority", "live")),
            content_type=_checked_value(values, "content-type", CONTENT_TYPE_PATTERN),
        )


_HEADERS_READ = {
    "authorization",
    "x-request-id",
    "idempotency-key",
    "knapweed-budget",
    "knapweed-deadline",
    "knapweed-priority",
    "content-type",
}


def _read_values(
    pairs: Iterable[tuple[bytes, bytes]], limit_bytes: int
) -> dict[str, str]:
    """Return the headers that the router reads, by lower-case name."""
    values: dict[str, str] = {}
    size = 0
    for raw_name, raw_value in pairs:
        size += len(raw_name) + len(raw_value)
        name = raw_name.decode("latin-1").lower()
        if name not in _HEADERS_READ:
            continue
        if name in values:
            raise refused(RefusalReason.BAD_REQUEST, f"header {name} is repeated")
        values[name] = raw_value.decode("latin-1").strip()
    if size > limit_bytes:
        raise refused(
            RefusalReason.BAD_REQUEST, f"headers: more than {limit_bytes} bytes"
        )
    return values


def _bearer_key(value: str) -> str:
    """Return the key of an Authorization header, empty for other schemes."""
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _checked_value(values: dict[str, str], name: str, pattern: re.Pattern[str]) -> str:
    """Return the value of a header that matches a pattern; empty if absent."""
    value = values.get(name)
    if value is None:
        return ""
    if not pattern.fullmatch(value):
        raise refused(
            RefusalReason.BAD_REQUEST, f"header {name} does not match {pattern.pattern}"
        )
    return value


def _deadline(value: str) -> float | None:
    """Return the seconds of a deadline header, None if absent."""
    if not value:
        return None
    try:
        seconds = float(value)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= LONGEST_DEADLINE_SECONDS:
        raise refused(
            RefusalReason.BAD_REQUEST,
            f"header knapweed-deadline is not in (0, {LONGEST_DEADLINE_SECONDS}] s",
        )
    return seconds


def _priority(value: str) -> Priority:
    """Return the priority that a header names."""
    priority = _PRIORITIES.get(value.lower())
    if priority is None:
        allowed = ", ".join(_PRIORITIES)
        raise refused(
            RefusalReason.BAD_REQUEST,
            f"header knapweed-priority is not one of {allowed}",
        )
    return priority
