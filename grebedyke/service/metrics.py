"""Counts and histograms of a node for its log, written and reset at regular intervals."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram
from loguru import logger

from grebedyke.model.outcome import Outcome
from grebedyke.model.refusal import RefusalReason
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

# The names of counts and levels are keys of the log line `counts` and stay as they are.
ANSWER_COUNTS = ("succeeded", "throttled", "errored", "left")
"""Requests by how they ended for the client."""
ACTIVITY_COUNTS = ("forwards", "again", "probes", "connects", "lists")
"""What a node did at executors and discovery; `again` counts retries."""
FAILURE_COUNTS = {
    Outcome.REJECTED: "full",
    Outcome.CONNECTION_RESET: "reset",
    Outcome.TIMEOUT: "timeout",
    Outcome.CONNECT_FAILED: "unconnected",
    Outcome.FAILED: "fault",
    Outcome.CANCELLED: "cancelled",
    Outcome.NEVER_SENT: "moot",
}
"""The count of each outcome of an attempt but success."""
REFUSAL_COUNTS = tuple(RefusalReason)
"""Requests that were throttled, failed or not taken, by why; not those whose attempt's time was over."""
TROUBLE_COUNTS = ("crowded", "odd", "faults")
"""Requests turned away for want of connections, messages not understood, errors of this program."""

HISTOGRAM_MAX = 60 * TICKS_PER_SECOND
HISTOGRAM_DIGITS = 2
PERCENTILES = (50, 99, 100)
# Of one kind in an interval: a peer that keeps sending what is not understood would fill the log.
MAX_LINES_PER_INTERVAL = 5


class Metrics:
    """Counts and histograms since the last log line of theirs.

    Attributes:
        counts: By name.
        histograms: Of durations in ticks, by name.
        read_levels: Returns the levels at the moment of the log line, by name.
    """

    def __init__(self):
        names = ("wait", "turn", "late", "stall")
        self.histograms = {name: HdrHistogram(1, HISTOGRAM_MAX, HISTOGRAM_DIGITS) for name in names}
        failures = FAILURE_COUNTS.values()
        self.counts = dict.fromkeys(
            ("taken", *ANSWER_COUNTS, *ACTIVITY_COUNTS, *failures, *REFUSAL_COUNTS, *TROUBLE_COUNTS), 0
        )
        self.read_levels: Callable[[], dict] = dict

    def count(self, name):
        """Counts one."""
        self.counts[name] += 1

    def count_and_may_log(self, name):
        """Counts one, and returns whether it may have a line of its own in the log."""
        self.counts[name] += 1
        return self.counts[name] <= MAX_LINES_PER_INTERVAL

    def record_wait(self, duration):
        """Records how long a request waited for its final answer, in ticks."""
        self.histograms["wait"].record_value(max(duration, 1))

    def record_batch(self, duration):
        """Records how long a batch took, in ticks."""
        self.histograms["turn"].record_value(max(duration, 1))

    def record_lateness(self, duration):
        """Records how late a timer was, in ticks."""
        self.histograms["late"].record_value(max(duration, 1))

    def record_stall(self, duration):
        """Records how late the watchdog was, in ticks."""
        self.histograms["stall"].record_value(max(duration, 1))

    def report(self):
        """Logs all, and begins anew."""
        fields = {name: count for name, count in self.counts.items() if count or name == "taken"}
        fields |= self.read_levels()
        words = [f"{name}={value}" for name, value in fields.items()]
        for name, histogram in self.histograms.items():
            if not histogram.get_total_count():
                continue
            median, high, largest = (
                histogram.get_value_at_percentile(percentile) / TICKS_PER_MILLISECOND
                for percentile in PERCENTILES
            )
            words.append(f"{name}_ms={median:.1f}/{high:.1f}/{largest:.1f}")
            fields |= {f"{name}_p50_ms": median, f"{name}_p99_ms": high, f"{name}_max_ms": largest}
            histogram.reset()
        self.counts = dict.fromkeys(self.counts, 0)
        logger.bind(event="counts", **fields).info("counts {}", " ".join(words))
