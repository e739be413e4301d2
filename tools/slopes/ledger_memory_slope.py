"""Memory and checkpoint size of a ledger, by entries."""

from __future__ import annotations

import gc
import time
import tracemalloc

from knapweeddrum.core.replay.stream_replay import StreamReplay
from tools.slopes.batch_payloads import batch_payloads, prerequisite_payload
from tools.slopes.cpu_timer import MICROSECONDS
from tools.slopes.fact_maker import FactMaker
from tools.slopes.figure import Figure
from tools.slopes.reading import Reading
from tools.slopes.slope import Slope

BATCH_FACTS = 100


class LedgerMemorySlope(Slope):
    """Applies ``facts_per_entry`` facts for each entry of a ledger."""

    unit = "entries"
    sizes = (1_000, 5_000, 20_000)
    tiny_sizes = (5, 10)
    repeats = 3

    def __init__(self, name: str, maker: FactMaker, facts_per_entry: int = 1) -> None:
        self.name = f"memory-{name}"
        self._maker = maker
        self._facts_per_entry = facts_per_entry

    def measure(self, size: float) -> Reading:
        """Return memory and checkpoint size of a ledger with ``size`` entries."""
        facts = int(size) * self._facts_per_entry
        payloads = [
            prerequisite_payload(self._maker),
            *batch_payloads(self._maker, facts, BATCH_FACTS),
        ]
        replay = StreamReplay(self._maker.ledger())
        gc.collect()
        tracemalloc.start()
        for offset, payload in enumerate(payloads):
            replay.apply(offset, 1_000.0 + offset / 1_000, payload)
        gc.collect()
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        start = time.process_time()
        checkpoint = replay.dump()
        dump = (time.process_time() - start) * MICROSECONDS
        return Reading(
            size,
            (
                Figure("memory", "bytes", memory),
                Figure("checkpoint", "bytes", len(checkpoint)),
                Figure("checkpoint_cpu", "us", dump),
            ),
        )
