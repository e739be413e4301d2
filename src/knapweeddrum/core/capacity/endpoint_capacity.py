"""What this host has learned of one start of an endpoint."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.capacity.cached_parts import CachedParts
from knapweeddrum.core.capacity.concurrency_limit import ConcurrencyLimit
from knapweeddrum.core.capacity.prefill_speed import (
    DEFAULT_TOKENS_PER_SECOND,
    FIRST_STEP_SECONDS,
    PrefillSpeed,
)
from knapweeddrum.core.capacity.prompt_parts import PromptParts
from knapweeddrum.core.capacity.prompt_queue import PromptQueue
from knapweeddrum.core.capacity.work_time import WorkTime


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    sent_at: float
    unread: int
    """Tokens that are not known to be cached."""
    is_sample: bool
    """Whether the time to its first event tells the speed."""
    load: float
    """Requests in progress there when it was sent."""


class EndpointCapacity:
    """Learns speed, cache and queue of one endpoint from this host's requests.

    Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self.work_time = WorkTime()
        self.speed = PrefillSpeed()
        self.cached = CachedParts()
        self.queue = PromptQueue()
        self.limit = ConcurrencyLimit()
        self.reports_work_time = False
        """Whether the last load report had a work time."""
        self._attempts: dict[str, _Attempt] = {}

    def record_report(self, work_time: float | None, now: float) -> None:
        """Record the work time of a load report, None if it had none."""
        self.reports_work_time = work_time is not None
        if work_time is not None:
            self.work_time.record(work_time, now)

    def start(
        self, attempt_id: str, prompt: PromptParts, load: float, now: float
    ) -> None:
        """Record that a request with a prompt is sent; ``load`` is in progress."""
        cached = self.cached.tokens(prompt, now)
        unread = max(0, prompt.tokens - cached)
        is_sample = self.queue.is_empty() and cached == prompt.shared_tokens
        self._attempts[attempt_id] = _Attempt(now, unread, is_sample, load)
        self.queue.start(attempt_id, unread, unread * self._token_seconds(now), now)
        self.cached.record(prompt, now)

    def begin_answer(self, attempt_id: str, slots: int, now: float) -> None:
        """Record that the answer to a request began."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        work_time = self.work_time.current(1.0, now)
        if attempt.is_sample:
            self.speed.record(attempt.unread, now - attempt.sent_at, work_time, now)
        overhead = FIRST_STEP_SECONDS * work_time
        late_by = self.queue.begin_answer(attempt_id, overhead, now)
        self.limit.record(attempt.load, late_by, slots, now)

    def forget(self, attempt_id: str, now: float) -> None:
        """Record that a request ended without an answer."""
        if self._attempts.pop(attempt_id, None) is not None:
            self.queue.remove(attempt_id, now)

    def _token_seconds(self, now: float) -> float:
        speed = self.speed.tokens_per_second(now) or DEFAULT_TOKENS_PER_SECOND
        return self.work_time.current(1.0, now) / speed
