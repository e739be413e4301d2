"""Interface of a cost that grows with a size."""

from __future__ import annotations

import abc

from tools.slopes.reading import Reading


class Slope(abc.ABC):
    """Measures the cost of one part of the fleet at several sizes.

    ``unit`` is the unit of the sizes. ``tiny_sizes`` serve the smoke test, and
    ``repeats`` is the number of runs at each size.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    tiny_sizes: tuple[float, ...]
    repeats: int = 5

    @abc.abstractmethod
    def measure(self, size: float) -> Reading:
        """Run once at a size and return what it took."""
