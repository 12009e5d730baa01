"""Load reports of executors, from responses to probes and from messages that end an attempt."""

from typing import NamedTuple

# Canonical names of metrics that have two names in the protocol.
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
# A larger value is considered an error of the executor.
FREE_SLOTS_LIMIT = 10_000


class LoadReport(NamedTuple):
    """Load metrics reported by an executor; None for a metric that is missing.

    Attributes:
        free_slots: Number of free slots, as reported.
        outstanding_work: Number of running and queued requests.
    """

    free_slots: float | None
    outstanding_work: float | None

    def plausible_free_slots(self):
        """Returns the free slots if the reported value is plausible, otherwise None.

        >>> values = (2, "n", -1, True, None)
        >>> [LoadReport(slots, None).plausible_free_slots() for slots in values]
        [2, None, None, None, None]
        """
        slots = self.free_slots
        is_number = isinstance(slots, (int, float)) and not isinstance(slots, bool)
        return slots if is_number and 0 <= slots < FREE_SLOTS_LIMIT else None


def parse_metrics(text):
    """Parses the text form of a report into metrics by canonical name; invalid parts are skipped.

    >>> metrics = parse_metrics("TEXT inflight=7, queue=2, util=0.61, odd, x0=n")
    >>> metrics == {"rif": 7.0, "q": 2.0, "busy": 0.61}
    True
    """
    metrics = {}
    for part in text.removeprefix("TEXT ").replace(" ", "").split(","):
        name, _, value = part.partition("=")
        try:
            metrics[CANONICAL_NAMES.get(name, name)] = float(value)
        except ValueError:
            continue
    return metrics


def report_from_text(text):
    """Parses the text form of a report.

    >>> report_from_text("TEXT inflight=3, x0=1.50")
    LoadReport(free_slots=1.5, outstanding_work=3.0)
    """
    return report_from_json(parse_metrics(text))


def report_from_json(value):
    """Builds a report from the JSON of a call-back, unchecked; without an object all metrics are None.

    >>> [report_from_json(value).plausible_free_slots() for value in ({"x0": 2}, {"x0": "n"}, {"x0": -1})]
    [2, None, None]
    >>> [report_from_json(value).plausible_free_slots() for value in ({"x0": True}, None, [])]
    [None, None, None]
    """
    if not isinstance(value, dict):
        return LoadReport(None, None)
    return LoadReport(value.get(FREE_SLOTS), value.get(OUTSTANDING_WORK))
