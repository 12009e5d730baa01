"""The unit of all times and durations inside the package.

Times and durations are whole numbers of ticks; a tick is a tenth of a millisecond. Milliseconds are used only
in external interfaces: in settings, on the wire and in log lines.
"""

TICKS_PER_MILLISECOND = 10
TICKS_PER_SECOND = 1_000 * TICKS_PER_MILLISECOND


def ticks(milliseconds):
    """Converts milliseconds from a setting or the wire into whole ticks, rounding towards zero.

    >>> ticks(1.25)
    12
    """
    return int(milliseconds * TICKS_PER_MILLISECOND)
