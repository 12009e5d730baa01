"""Load reports of executors: in the body of a probe's response, or beside what ends an attempt."""

from typing import NamedTuple

# The wire has two names for some figures.
CANONICAL_NAMES = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "eps": "fail_rate",
    "qps": "rate",
    "latency_ms": "lat_ms",
}
FREE_SLOTS = "x0"
OUTSTANDING_WORK = "rif"
# A report beyond this is taken for an error of the executor.
FREE_SLOTS_LIMIT = 10_000


class LoadReport(NamedTuple):
    """What an executor says of its load; None stands for a figure that it does not report.

    Attributes:
        free_slots: Slots that are free, as reported.
        outstanding_work: Requests that it runs or has queued.
    """

    free_slots: float | None
    outstanding_work: float | None

    def plausible_free_slots(self):
        """Returns the free slots where the figure can be believed, else None.

        >>> figures = (2, "n", -1, True, None)
        >>> [LoadReport(slots, None).plausible_free_slots() for slots in figures]
        [2, None, None, None, None]
        """
        slots = self.free_slots
        is_number = isinstance(slots, (int, float)) and not isinstance(slots, bool)
        return slots if is_number and 0 <= slots < FREE_SLOTS_LIMIT else None


def parse_figures(text):
    """Reads the text form of a report into figures by their canonical wire names; odd parts are left out.

    >>> figures = parse_figures("TEXT inflight=7, queue=2, util=0.61, odd, x0=n")
    >>> figures == {"rif": 7.0, "q": 2.0, "busy": 0.61}
    True
    """
    figures = {}
    for part in text.removeprefix("TEXT ").replace(" ", "").split(","):
        name, _, value = part.partition("=")
        try:
            figures[CANONICAL_NAMES.get(name, name)] = float(value)
        except ValueError:
            continue
    return figures


def report_from_text(text):
    """Reads the text form of a report.

    >>> report_from_text("TEXT inflight=3, x0=1.50")
    LoadReport(free_slots=1.5, outstanding_work=3.0)
    """
    return report_from_json(parse_figures(text))


def report_from_json(value):
    """Reads a report out of a call-back: the figures as received, or none where there is no report.

    >>> [report_from_json(value).plausible_free_slots() for value in ({"x0": 2}, {"x0": "n"}, {"x0": -1})]
    [2, None, None]
    >>> [report_from_json(value).plausible_free_slots() for value in ({"x0": True}, None, [])]
    [None, None, None]
    """
    if not isinstance(value, dict):
        return LoadReport(None, None)
    return LoadReport(value.get(FREE_SLOTS), value.get(OUTSTANDING_WORK))
