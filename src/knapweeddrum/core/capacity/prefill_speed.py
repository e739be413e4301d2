"""Speed at which an endpoint reads prompts."""

from __future__ import annotations

import collections

DEFAULT_TOKENS_PER_SECOND = 45_000.0
"""Speed that is assumed before any was measured; engines read 36 to 57 a ms."""

MIN_TOKENS_PER_SECOND = 5_000.0
MAX_TOKENS_PER_SECOND = 120_000.0
"""Speed above which a sample shows a prompt that was cached, and is ignored."""

FIRST_STEP_SECONDS = 0.016
"""Time from the end of the prefill to the first event at the caller's host."""

MIN_SAMPLE_TOKENS = 1_000
"""Prompt tokens below which the time to the first event tells little of the speed."""

SAMPLES = 15
MIN_SAMPLES = 3

LEARNED_SECONDS = 10.0
"""Time without a sample after which the speed counts as unknown.

An endpoint that gets no requests because it was slow is then tried again.
"""


class PrefillSpeed:
    """Learns tokens a second at a work time of 1, from times to the first event.

    Waits for the prompts of other hosts make samples too slow, never too fast. The
    upper third is therefore used instead of the median.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(maxlen=SAMPLES)
        self._speed: float | None = None
        self._sampled_at = float("-inf")

    def tokens_per_second(self, now: float) -> float | None:
        """Return the learned speed, None with fewer than MIN_SAMPLES or old ones."""
        return self._speed if now - self._sampled_at <= LEARNED_SECONDS else None

    def record(self, tokens: int, seconds: float, work_time: float, now: float) -> None:
        """Record the time to the first event of a prompt that waited for none."""
        reading = seconds - FIRST_STEP_SECONDS * work_time
        if tokens < MIN_SAMPLE_TOKENS or reading <= 0:
            return
        speed = tokens * work_time / reading
        if speed > MAX_TOKENS_PER_SECOND:
            return
        if now - self._sampled_at > LEARNED_SECONDS:
            self._samples.clear()
            self._speed = None
        self._sampled_at = now
        self._samples.append(max(MIN_TOKENS_PER_SECOND, speed))
        if len(self._samples) >= MIN_SAMPLES:
            ordered = sorted(self._samples)
            self._speed = ordered[(len(ordered) - 1) * 2 // 3]
