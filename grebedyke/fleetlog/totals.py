"""Sums over all nodes by spans of time. Nothing here reads a file or a clock."""

from collections import Counter, defaultdict
from typing import NamedTuple

from grebedyke.errors import LogRangeError
from grebedyke.service.metrics import ACTIVITY_COUNTS, ANSWER_COUNTS, FAILURE_COUNTS, REFUSAL_COUNTS

COLUMNS = (
    "nodes",
    "taken",
    *ANSWER_COUNTS,
    *ACTIVITY_COUNTS,
    *FAILURE_COUNTS.values(),
    *REFUSAL_COUNTS,
    "held",
    "out",
    "listed",
    "warnings",
)

MOST_SPANS = 100_000
"""From the first line to the last: over a day of rows of a second."""

WARNING_LEVELS = ("WARNING", "ERROR", "CRITICAL")

LONGEST_INTERVAL = 1.5
"""A line is of so many usual intervals between a node's lines at most.

A process that was started again goes on in the same file: its first line is of its own time only.
"""


class Row(NamedTuple):
    """What all nodes did within one span.

    Attributes:
        time: The span's start, in seconds since the first span.
        values: A number for each of `COLUMNS`.
    """

    time: float
    values: dict[str, float]


class Report(NamedTuple):
    """The counts of one line.

    Attributes:
        time: The line's time in seconds.
        counts: Numbers of events by name.
        levels: What stood at that time, by name.
    """

    time: float
    counts: dict[str, int]
    levels: dict[str, int]


class FleetTotals:
    """Sums over nodes by span.

    A node's counts are of the time since its line before and are spread evenly over it; those of its first
    line are of the usual interval between its lines. Levels hold over the same time.

    Attributes:
        span: Length of a span in seconds.
        unreadable_lines: How many lines were no node's.
        warnings: Number of warnings by span.
        events: Number of warnings by (level, pattern of the message).
    """

    def __init__(self, span=1.0):
        self.span = span
        self.unreadable_lines = 0
        self.warnings = Counter()
        self.events = Counter()
        self._reports = defaultdict(list)  # By file and node: each Report.

    def add(self, source, line):
        """Adds a line of a file; None is one that was no node's."""
        if line is None:
            self.unreadable_lines += 1
        elif line.counts or line.levels:
            self._reports[source, line.node].append(Report(line.time, line.counts, line.levels))
        elif line.level in WARNING_LEVELS:
            self.warnings[line.time // self.span] += 1
            self.events[line.level, message_pattern(line.message)] += 1

    def rows(self):
        """Returns a `Row` for each span from the first to the last, also for those without a line.

        Raises:
            LogRangeError: There would be more than `MOST_SPANS` of them.
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
        """Guards against lines of two clocks in one log, whose rows would fill the memory."""
        times = [report.time for reports in self._reports.values() for report in reports]
        times += [index * self.span for index in self.warnings]
        duration = max(times, default=0) - min(times, default=0)
        if duration > MOST_SPANS * self.span:
            raise LogRangeError(
                f"the lines lie up to {duration:.0f} s apart, over {MOST_SPANS} rows of {self.span:g} s: "
                "read logs of different clocks apart, or give a longer span"
            )

    def _add_node(self, sums, reports):
        """Adds one node's reports to the sums by span."""
        reports.sort(key=lambda report: report.time)
        usual_interval = self._usual_interval(reports)
        previous_time = reports[0].time - usual_interval
        for report in reports:
            start = max(previous_time, report.time - LONGEST_INTERVAL * usual_interval)
            for index, share in spread(start, report.time, self.span):
                presence = min(share * (report.time - start) / self.span, 1)
                for name, count in report.counts.items():
                    sums[index][name] += count * share
                for name, level in report.levels.items():
                    sums[index][name] += level * presence
                sums[index]["nodes"] += presence
            previous_time = report.time

    def _usual_interval(self, reports):
        """Returns the median of the intervals between reports, the lower of the two in the middle."""
        times = [report.time for report in reports]
        intervals = sorted(later - earlier for earlier, later in zip(times, times[1:], strict=False))
        return intervals[(len(intervals) - 1) // 2] if intervals else self.span

    def totals(self):
        """Returns all counts of all nodes."""
        totals = Counter()
        for reports in self._reports.values():
            for report in reports:
                totals.update(report.counts)
        return totals


def spread(start, end, span):
    """Returns the spans between two times, as (index, share of the time that lies in it).

    >>> [(int(index), round(share, 3)) for index, share in spread(0.5, 2.5, 1.0)]
    [(0, 0.25), (1, 0.5), (2, 0.25)]
    >>> list(spread(3.0, 3.0, 1.0))
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
    """Returns a message without its figures, so that the same one of many nodes counts as one.

    >>> message_pattern("discovery: version 12 after 14, the whole list")
    'discovery: version # after #, the whole list'
    """
    words = ("#" + word.lstrip("0123456789") if word[:1].isdigit() else word for word in message.split())
    return " ".join(words)
