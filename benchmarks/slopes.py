"""Slopes: a quantity measured at several sizes, fitted, and read off at another size. No measuring here."""

from typing import NamedTuple

import numpy


class Slope(NamedTuple):
    """`exponent`, `factor`: value = factor * size ** exponent, by least squares on logs; `floor`, `each`:
    value = floor + each * size, by least squares of the error over the value; `left`, `line_left`: what each
    leaves over, the root mean square of the error over the value; `largest`: the largest size that was run.
    """

    exponent: float
    factor: float
    left: float
    floor: float
    each: float
    line_left: float
    largest: float

    def line(self):
        """Whether the straight line goes before the power: leaves no more over, is nowhere negative."""
        return self.line_left <= self.left and self.floor >= 0 and self.each >= 0


def fit(sizes, values):
    """The slope of values over sizes, all of them over 0; None where there are under two of these.

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
    x, y = (numpy.array(side, float) for side in zip(*pairs))
    exponent, factor = numpy.polyfit(numpy.log(x), numpy.log(y), 1)
    each, floor = numpy.polyfit(x, y, 1, w=1 / y)
    power, line = numpy.exp(factor) * x**exponent, floor + each * x
    left, line_left = (float(numpy.sqrt(numpy.mean((way / y - 1) ** 2))) for way in (power, line))
    return Slope(
        float(exponent), float(numpy.exp(factor)), left, float(floor), float(each), line_left, float(x.max())
    )


def read_off(slope, size):
    """(value, whether that lies beyond the largest size that was run), by the way that leaves less over.

    >>> s = fit([10, 20, 50, 100], [70, 120, 270, 520])
    >>> [(round(value), beyond) for value, beyond in (read_off(s, 100), read_off(s, 1000))]
    [(520, False), (5020, True)]
    """
    value = slope.floor + slope.each * size if slope.line() else slope.factor * size**slope.exponent
    return float(value), bool(size > slope.largest * (1 + 1e-9))
