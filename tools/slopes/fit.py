"""Linear least-squares fits of readings."""

from __future__ import annotations

import dataclasses
import math
import statistics
from collections.abc import Sequence

from tools.slopes.reading import Reading


@dataclasses.dataclass(frozen=True, slots=True)
class SizeSpread:
    """Least, median and greatest value of one figure at one size."""

    size: float
    least: float
    median: float
    greatest: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """``value = fixed + per_unit * size``, by least squares over all readings.

    ``residual`` is the root mean square distance of the readings from the line, in
    the figure's unit; ``spreads`` has the range of the values at each size.
    """

    slope: str
    figure: str
    unit: str
    size_unit: str
    fixed: float
    per_unit: float
    residual: float
    spreads: tuple[SizeSpread, ...]


def fit_all(slope: str, size_unit: str, readings: Sequence[Reading]) -> tuple[Fit, ...]:
    """Return a fit for each figure of a slope's readings."""
    return tuple(
        _fit(slope, size_unit, readings, index)
        for index in range(len(readings[0].figures))
    )


def _fit(slope: str, size_unit: str, readings: Sequence[Reading], index: int) -> Fit:
    sizes = [reading.size for reading in readings]
    values = [reading.figures[index].value for reading in readings]
    line = statistics.linear_regression(sizes, values)
    squares = [
        (value - line.intercept - line.slope * size) ** 2
        for size, value in zip(sizes, values, strict=True)
    ]
    figure = readings[0].figures[index]
    return Fit(
        slope=slope,
        figure=figure.name,
        unit=figure.unit,
        size_unit=size_unit,
        fixed=line.intercept,
        per_unit=line.slope,
        residual=math.sqrt(statistics.fmean(squares)),
        spreads=tuple(
            _spread(size, sizes, values) for size in sorted(dict.fromkeys(sizes))
        ),
    )


def _spread(size: float, sizes: Sequence[float], values: Sequence[float]) -> SizeSpread:
    at_size = [
        value for other, value in zip(sizes, values, strict=True) if other == size
    ]
    return SizeSpread(size, min(at_size), statistics.median(at_size), max(at_size))
