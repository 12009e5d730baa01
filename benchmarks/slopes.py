"""Slopes: a quantity measured at several sizes, fitted, and read off at another size. No measuring here."""

from typing import NamedTuple

import numpy

_ROUNDING = 1e-9


class Slope(NamedTuple):
    """How a quantity grows with a size, fitted as a power and as a straight line.

    Attributes:
        exponent: Of the power: value = factor * size ** exponent, by least squares on logarithms.
        factor: Of the power.
        left: What the power leaves over: the root mean square of the error over the value.
        floor: Of the line: value = floor + each * size, by least squares of the error over the value.
        each: Of the line.
        line_left: What the line leaves over.
        largest: The largest size that was run.
    """

    exponent: float
    factor: float
    left: float
    floor: float
    each: float
    line_left: float
    largest: float

    def line(self):
        """Returns whether the line is preferred: it leaves no more over and is nowhere negative."""
        return self.line_left <= self.left and self.floor >= 0 and self.each >= 0


def fit(sizes, values):
    """Returns the `Slope` of values over sizes, all of them over 0; None for fewer than two sizes.

    >>> s = fit([10, 20, 50, 100], [70, 120, 270, 520])
    >>> round(s.floor), round(s.each, 3), round(s.line_left, 6), round(s.exponent, 2), round(s.left, 2)
    (20, 5.0, 0.0, 0.87, 0.03)
    >>> s = fit([10, 20, 50, 100], [200, 800, 5000, 20000])
    >>> round(s.exponent, 3), round(s.factor, 3), round(s.left, 6), s.line()
    (2.0, 2.0, 0.0, False)
    >>> s = fit([1, 10, 100, 1000], [2, 11, 105, 950])
    >>> round(s.floor, 2), round(s.each, 3), round(s.line_left, 3)
    (1.01, 0.992, 0.032)
    >>> fit([10, 20], [0, 0]), fit([10, 10], [1, 2])
    (None, None)
    """
    pairs = [(size, value) for size, value in zip(sizes, values, strict=True) if size > 0 and value > 0]
    if len({size for size, _ in pairs}) < 2:
        return None
    size_array, value_array = (numpy.array(side, float) for side in zip(*pairs, strict=True))
    exponent, log_factor = numpy.polyfit(numpy.log(size_array), numpy.log(value_array), 1)
    each, floor = numpy.polyfit(size_array, value_array, 1, w=1 / value_array)
    power = numpy.exp(log_factor) * size_array**exponent
    line = floor + each * size_array
    return Slope(
        exponent=float(exponent),
        factor=float(numpy.exp(log_factor)),
        left=_left_over(power, value_array),
        floor=float(floor),
        each=float(each),
        line_left=_left_over(line, value_array),
        largest=float(size_array.max()),
    )


def _left_over(fitted, values):
    return float(numpy.sqrt(numpy.mean((fitted / values - 1) ** 2)))


def read_off(slope, size):
    """Returns (value, whether that lies beyond the largest size that was run), by the preferred fit.

    >>> s = fit([10, 20, 50, 100], [70, 120, 270, 520])
    >>> [(round(value), beyond) for value, beyond in (read_off(s, 100), read_off(s, 1000))]
    [(520, False), (5020, True)]
    """
    value = slope.floor + slope.each * size if slope.line() else slope.factor * size**slope.exponent
    return float(value), bool(size > slope.largest * (1 + _ROUNDING))
