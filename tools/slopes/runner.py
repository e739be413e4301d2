"""Runs slopes and prints their readings and fits."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import TextIO

import msgspec

from tools.slopes.fit import fit_all
from tools.slopes.slope import Slope


class Runner:
    """Prints a JSON line for each reading and, at the end of a slope, for each fit."""

    def __init__(self, output: TextIO) -> None:
        self._output = output

    def run(self, slope: Slope, sizes: Sequence[float], repeats: int) -> None:
        """Measure a slope ``repeats`` times at each size."""
        start = time.monotonic()
        readings = []
        # Interleaves the sizes so that other load on the machine affects all alike.
        for _ in range(repeats):
            for size in sizes:
                reading = slope.measure(size)
                readings.append(reading)
                self._print("reading", slope, reading)
        # A linear fit needs at least two sizes.
        fits = fit_all(slope.name, slope.unit, readings) if len(sizes) > 1 else ()
        for fit in fits:
            self._print("fit", slope, fit)
        self._print("took", slope, round(time.monotonic() - start, 1))

    def _print(self, kind: str, slope: Slope, content: object) -> None:
        line = msgspec.json.encode({"slope": slope.name, kind: content})
        print(line.decode(), file=self._output, flush=True)
