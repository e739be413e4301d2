"""Timing of this process's own work."""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator
from contextlib import contextmanager

MICROSECONDS = 1_000_000


class CpuTimer:
    """Processor time between its start and its end, in microseconds."""

    def __init__(self) -> None:
        self.microseconds = 0.0

    @contextmanager
    def running(self) -> Iterator[None]:
        """Count the processor time of the block; garbage from before is not counted."""
        gc.collect()
        start = time.process_time()
        try:
            yield
        finally:
            self.microseconds += (time.process_time() - start) * MICROSECONDS
