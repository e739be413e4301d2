"""Processor time that one kind of work takes."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator


class ProcessorMeter:
    """Adds up the processor time of the event loop's thread in measured blocks."""

    def __init__(self) -> None:
        self.seconds = 0.0

    @contextlib.contextmanager
    def measure(self) -> Iterator[None]:
        """Measure a block that does not wait for other tasks."""
        started_at = time.thread_time()
        try:
            yield
        finally:
            self.seconds += time.thread_time() - started_at
