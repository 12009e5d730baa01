"""Totals over all nodes for each span of time. This module reads no files and no clock."""

from collections import Counter, defaultdict
from typing import NamedTuple

from grebedyke.errors import LogRangeError
from grebedyke.service.metrics import (
    ACTIVITY_COUNTS,
    ANSWER_COUNTS,
    CONNECTION_COUNTS,
    FAILURE_COUNTS,
    REFUSAL_COUNTS,
)

COLUMNS = (
    "nodes",
    "taken",
    *ANSWER_COUNTS,
    *ACTIVITY_COUNTS,
    *FAILURE_COUNTS.values(),
    *REFUSAL_COUNTS,
    *CONNECTION_COUNTS,
    "held",
    "out",
    "listed",
    "warnings",
)

MAX_ROWS = 100_000
"""Maximum number of rows; enough for more than a day of one-second rows."""

WARNING_LEVELS = ("WARNING", "ERROR", "CRITICAL")

MAX_INTERVAL_RATIO = 1.5
"""Maximum time that a counts line covers, as a multiple of the median interval between the node's lines.

A restarted process appends to the same file; its first line must not cover the time before its start.
"""


class Row(NamedTuple):
    """The totals of all nodes for one span.

    Attributes:
        time: The start of the span, in seconds since the first span.
        values: The value of each of `COLUMNS`.
    """

    time: float
    values: dict[str, float]


class Report(NamedTuple):
    """The content of a counts line.

    Attributes:
        time: The time of the line, in seconds.
        counts: Numbers of events, by name.
        gauges: Values at that time, by name.
    """

    time: float
    counts: dict[str, int]
    gauges: dict[str, int]


class FleetTotals:
    """Totals over all nodes for each span.

    A node's counts cover the time since its previous line and are spread evenly over it; those of its first
    line cover the median interval between its lines. Gauges hold over the same time.

    Attributes:
        span: Length of a span in seconds.
        unreadable_lines: Number of lines that are not node log lines.
        warnings: Number of warnings and errors by span index.
        events: Number of warnings and errors by (level, message pattern).
    """

    def __init__(self, span=1.0):
        self.span = span
        self.unreadable_lines = 0
        self.warnings = Counter()
        self.events = Counter()
        self._reports = defaultdict(list)  # The reports of each (file, node).

    def add(self, source, line):
        """Adds a parsed line of a file; None stands for a line that is not a node log line."""
        if line is None:
            self.unreadable_lines += 1
        elif line.counts or line.gauges:
            self._reports[source, line.node].append(Report(line.time, line.counts, line.gauges))
        elif line.level in WARNING_LEVELS:
            self.warnings[line.time // self.span] += 1
            self.events[line.level, message_pattern(line.message)] += 1

    def rows(self):
        """Returns a `Row` for each span from the first to the last, including spans without lines.

        Raises:
            LogRangeError: There would be more than `MAX_ROWS` rows.
        """
        self._check_range()
        sums = defaultdict(Counter)
        for reports in self._reports.values():
            self._add_node(sums, reports)
        for index, count in self.warnings.items():
            sums[index]["warnings"] += count
        if not sums:
            return []
        first = int(min(sums))
        last = int(max(sums))
        return [
            Row((index - first) * self.span, {name: sums[index][name] for name in COLUMNS})
            for index in range(first, last + 1)
        ]

    def _check_range(self):
        """Rejects logs with lines of two clocks, as the rows between their times would exhaust the memory."""
        times = [report.time for reports in self._reports.values() for report in reports]
        times += [index * self.span for index in self.warnings]
        duration = max(times, default=0) - min(times, default=0)
        if duration > MAX_ROWS * self.span:
            raise LogRangeError(
                f"the lines span {duration:.0f} s, more than {MAX_ROWS} rows of {self.span:g} s: "
                "read logs of different clocks separately, or give a longer span"
            )

    def _add_node(self, sums, reports):
        """Adds the reports of one node to the sums of each span."""
        reports.sort(key=lambda report: report.time)
        median_interval = self._median_interval(reports)
        previous_time = reports[0].time - median_interval
        for report in reports:
            start = max(previous_time, report.time - MAX_INTERVAL_RATIO * median_interval)
            for index, share in spread_over_spans(start, report.time, self.span):
                presence = min(share * (report.time - start) / self.span, 1)
                for name, count in report.counts.items():
                    sums[index][name] += count * share
                for name, value in report.gauges.items():
                    sums[index][name] += value * presence
                sums[index]["nodes"] += presence
            previous_time = report.time

    def _median_interval(self, reports):
        """Returns the median interval between reports; the lower one if there are two middle values."""
        times = [report.time for report in reports]
        intervals = sorted(later - earlier for earlier, later in zip(times, times[1:], strict=False))
        return intervals[(len(intervals) - 1) // 2] if intervals else self.span

    def totals(self):
        """Returns the total counts of all nodes."""
        totals = Counter()
        for reports in self._reports.values():
            for report in reports:
                totals.update(report.counts)
        return totals


def spread_over_spans(start, end, span):
    """Returns the spans between two times, as (index, share of the time within the span).

    >>> [(int(index), round(share, 3)) for index, share in spread_over_spans(0.5, 2.5, 1.0)]
    [(0, 0.25), (1, 0.5), (2, 0.25)]
    >>> list(spread_over_spans(3.0, 3.0, 1.0))
    [(3.0, 1.0)]
    """
    if end <= start:
        return [(end // span, 1.0)]
    shares = []
    index = start // span
    while index * span < end:
        overlap = min(end, (index + 1) * span) - max(start, index * span)
        if overlap > 0:
            shares.append((index, overlap / (end - start)))
        index += 1
    return shares


def message_pattern(message):
    """Returns a message with its numbers replaced, so that similar messages are counted together.

    >>> message_pattern("discovery: version 12 after 14, the whole list")
    'discovery: version # after #, the whole list'
    """
    words = ("#" + word.lstrip("0123456789") if word[:1].isdigit() else word for word in message.split())
    return " ".join(words)
