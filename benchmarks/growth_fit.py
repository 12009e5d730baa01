"""Fits the growth of a quantity measured at several sizes, and estimates it at another size."""

from typing import NamedTuple

import numpy

_ROUNDING = 1e-9


class GrowthFit(NamedTuple):
    """The growth of a quantity with a size, fitted as a power law and as a straight line.

    Attributes:
        exponent: Exponent of the power law value = factor * size ** exponent, by least squares on logarithms.
        factor: Factor of the power law.
        power_error: Root mean square of the relative error of the power law.
        intercept: Intercept of the line value = intercept + slope * size, by least squares of the relative
            error.
        slope: Slope of the line.
        line_error: Root mean square of the relative error of the line.
        largest_size: The largest measured size.
    """

    exponent: float
    factor: float
    power_error: float
    intercept: float
    slope: float
    line_error: float
    largest_size: float

    def prefers_line(self):
        """Returns whether the line is used: its error is not larger and no value is negative."""
        return self.line_error <= self.power_error and self.intercept >= 0 and self.slope >= 0


def fit_growth(sizes, values):
    """Returns the `GrowthFit` of the positive values over sizes; None for fewer than two sizes.

    >>> f = fit_growth([10, 20, 50, 100], [70, 120, 270, 520])
    >>> round(f.intercept), round(f.slope, 3), round(f.line_error, 6), round(f.exponent, 2)
    (20, 5.0, 0.0, 0.87)
    >>> round(f.power_error, 2)
    0.03
    >>> f = fit_growth([10, 20, 50, 100], [200, 800, 5000, 20000])
    >>> round(f.exponent, 3), round(f.factor, 3), round(f.power_error, 6), f.prefers_line()
    (2.0, 2.0, 0.0, False)
    >>> f = fit_growth([1, 10, 100, 1000], [2, 11, 105, 950])
    >>> round(f.intercept, 2), round(f.slope, 3), round(f.line_error, 3)
    (1.01, 0.992, 0.032)
    >>> fit_growth([10, 20], [0, 0]), fit_growth([10, 10], [1, 2])
    (None, None)
    """
    pairs = [(size, value) for size, value in zip(sizes, values, strict=True) if size > 0 and value > 0]
    if len({size for size, _ in pairs}) < 2:
        return None
    size_array, value_array = (numpy.array(column, float) for column in zip(*pairs, strict=True))
    exponent, log_factor = numpy.polyfit(numpy.log(size_array), numpy.log(value_array), 1)
    slope, intercept = numpy.polyfit(size_array, value_array, 1, w=1 / value_array)
    power = numpy.exp(log_factor) * size_array**exponent
    line = intercept + slope * size_array
    return GrowthFit(
        exponent=float(exponent),
        factor=float(numpy.exp(log_factor)),
        power_error=_relative_error(power, value_array),
        intercept=float(intercept),
        slope=float(slope),
        line_error=_relative_error(line, value_array),
        largest_size=float(size_array.max()),
    )


def _relative_error(fitted, values):
    return float(numpy.sqrt(numpy.mean((fitted / values - 1) ** 2)))


def estimate(fit, size):
    """Returns (value, is_extrapolated) at a size by the preferred fit.

    >>> f = fit_growth([10, 20, 50, 100], [70, 120, 270, 520])
    >>> [(round(value), is_extrapolated) for value, is_extrapolated in (estimate(f, 100), estimate(f, 1000))]
    [(520, False), (5020, True)]
    """
    value = fit.intercept + fit.slope * size if fit.prefers_line() else fit.factor * size**fit.exponent
    return float(value), bool(size > fit.largest_size * (1 + _ROUNDING))
