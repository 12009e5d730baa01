"""Counts and histograms of a node, logged and reset at regular intervals."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram
from loguru import logger

from grebedyke.model.outcome import Outcome
from grebedyke.model.refusal import RefusalReason
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from grebedyke.wire.connection_end import ConnectionEnd

# The names of counts and gauges are keys of the log event `counts`; operators' tools depend on them.
ANSWER_COUNTS = ("succeeded", "throttled", "errored", "left")
"""Requests by their result for the client; `left` counts clients that left without an answer."""
ACTIVITY_COUNTS = ("forwards", "again", "probes", "connects", "lists")
"""Messages to executors and discovery: `forwards` counts attempts, `again` retries."""
FAILURE_COUNTS = {
    Outcome.REJECTED: "full",
    Outcome.CONNECTION_RESET: "reset",
    Outcome.TIMEOUT: "timeout",
    Outcome.CONNECT_FAILED: "unconnected",
    Outcome.FAILED: "fault",
    Outcome.CANCELLED: "cancelled",
    Outcome.NEVER_SENT: "moot",
}
"""The counts of attempts by outcome, except for successful ones."""
REFUSAL_COUNTS = tuple(RefusalReason)
"""Refused requests by reason; requests whose attempt timed out are not included."""
ERROR_COUNTS = ("crowded", "odd", "faults")
"""Requests rejected for lack of connections, malformed messages, and errors of this program."""
CONNECTION_COUNTS = ("opened", "refused")
"""Connections accepted by the client listener, and messages on them that were no sound requests."""
REFUSED_STATUSES = (400, 404, 405, 408, 413, 431, 505)
"""Statuses of the responses to such messages; each has a count, `refused_<status>`."""
REFUSED_STATUS_COUNTS = tuple(f"refused_{status}" for status in REFUSED_STATUSES)
END_COUNTS = tuple(ConnectionEnd)
"""The ends of client connections by reason."""

HISTOGRAM_MAX = 60 * TICKS_PER_SECOND
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 99, 100)
# Per count and interval: without a limit, a peer that keeps sending malformed messages would fill the log.
MAX_LINES_PER_INTERVAL = 5


class Metrics:
    """Counts and histograms since they were last logged.

    Attributes:
        counts: Counts by name.
        histograms: Histograms of durations in ticks, by name.
        read_gauges: Returns the current gauges by name; called when they are logged.
    """

    def __init__(self):
        names = ("wait", "turn", "late", "stall")
        self.histograms = {name: HdrHistogram(1, HISTOGRAM_MAX, SIGNIFICANT_DIGITS) for name in names}
        failures = FAILURE_COUNTS.values()
        self.counts = dict.fromkeys(
            (
                "taken",
                *ANSWER_COUNTS,
                *ACTIVITY_COUNTS,
                *failures,
                *REFUSAL_COUNTS,
                *ERROR_COUNTS,
                *CONNECTION_COUNTS,
                *REFUSED_STATUS_COUNTS,
                *END_COUNTS,
            ),
            0,
        )
        self.read_gauges: Callable[[], dict] = dict

    def count(self, name):
        """Increments a count."""
        self.counts[name] += 1

    def count_and_may_log(self, name):
        """Increments a count; returns whether the occurrence may be logged on a line of its own."""
        self.counts[name] += 1
        return self.counts[name] <= MAX_LINES_PER_INTERVAL

    def count_refused_message(self, status):
        """Counts a message of a client connection that was answered with one of `REFUSED_STATUSES`."""
        self.counts["refused"] += 1
        self.counts[f"refused_{status}"] += 1

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
        """Logs all counts, gauges and histograms, and resets counts and histograms."""
        fields = {name: count for name, count in self.counts.items() if count or name == "taken"}
        fields |= self.read_gauges()
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
