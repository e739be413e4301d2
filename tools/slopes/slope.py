"""Interface of a measurement of costs by size."""

from __future__ import annotations

import abc

from tools.slopes.reading import Reading


class Slope(abc.ABC):
    """Measures costs of one component at several sizes.

    ``unit`` is the unit of the sizes. ``tiny_sizes`` are used by the smoke test;
    ``repeats`` is the number of runs at each size.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    tiny_sizes: tuple[float, ...]
    repeats: int = 5

    @abc.abstractmethod
    def measure(self, size: float) -> Reading:
        """Return the figures of one measurement at a size, in ``unit``."""
