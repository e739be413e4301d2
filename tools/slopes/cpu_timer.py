"""Processor time of this process."""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator
from contextlib import contextmanager

MICROSECONDS = 1_000_000


class CpuTimer:
    """Sums the processor time of timed blocks, in microseconds."""

    def __init__(self) -> None:
        self.microseconds = 0.0

    @contextmanager
    def running(self) -> Iterator[None]:
        """Time the block, after a garbage collection that is not counted."""
        gc.collect()
        start = time.process_time()
        try:
            yield
        finally:
            self.microseconds += (time.process_time() - start) * MICROSECONDS
