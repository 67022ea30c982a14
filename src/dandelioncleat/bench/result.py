"""Results of measurements: fitted slopes and single figures."""

import os
import platform
from collections.abc import Iterable
from statistics import linear_regression
from typing import NamedTuple

import msgspec

MIN_SIZES = 4


class Point(NamedTuple):
    """A measured value at one size."""

    size: float
    value: float


class Slope(NamedTuple):
    """A least-squares line through measured points.

    ``residual`` is the largest distance of a point from the line, as a
    share of the largest value.
    """

    name: str
    unit: str
    per: str
    slope: float
    intercept: float
    residual: float
    points: tuple[Point, ...]

    def at(self, size: float) -> float:
        """Return the value that the line has at a size."""
        return self.intercept + self.slope * size


class Figure(NamedTuple):
    """A single measured value."""

    name: str
    unit: str
    value: float


class Result(msgspec.Struct, frozen=True):
    """What one run of a benchmark measured, and on which machine."""

    bench: str
    commit: str
    python: str
    cores: int
    load_before: float
    slopes: tuple[Slope, ...]
    figures: tuple[Figure, ...]


def fit(
    name: str,
    points: Iterable[Point],
    *,
    unit: str,
    per: str,
) -> Slope:
    """Fit a line through points of at least four sizes.

    :raises ValueError: if there are fewer sizes
    """
    measured = tuple(points)
    if len({point.size for point in measured}) < MIN_SIZES:
        raise ValueError(f'{name}: a slope needs {MIN_SIZES} sizes')
    line = linear_regression(
        [point.size for point in measured],
        [point.value for point in measured],
    )
    return Slope(
        name,
        unit,
        per,
        line.slope,
        line.intercept,
        _residual(measured, line.slope, line.intercept),
        measured,
    )


def new_result(
    bench: str,
    *,
    commit: str,
    slopes: Iterable[Slope],
    figures: Iterable[Figure] = (),
) -> Result:
    """Return a result with a description of the machine."""
    return Result(
        bench=bench,
        commit=commit,
        python=platform.python_version(),
        cores=os.cpu_count() or 0,
        load_before=os.getloadavg()[0],
        slopes=tuple(slopes),
        figures=tuple(figures),
    )


def _residual(
    points: tuple[Point, ...],
    slope: float,
    intercept: float,
) -> float:
    largest = max(abs(point.value) for point in points)
    if largest == 0:
        return 0
    distances = (
        abs(point.value - intercept - slope * point.size) for point in points
    )
    return max(distances) / largest
