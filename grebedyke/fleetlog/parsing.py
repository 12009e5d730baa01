"""Parses node log lines; any other line yields None, so that the caller can count it."""

import re
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

# A log collector may have added its own time before the line: in seconds, by one clock for all nodes.
_LINE = re.compile(
    r"(?:(\d+\.\d+) )?"
    r"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3})([+-]\d\d:?\d\d) ([A-Z]+) (\S+) (.*)"
)
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%f%z"
_COUNTS_PREFIX = "counts "

GAUGE_NAMES = ("listed", "out", "held")
"""The fields of a counts line that are gauges, not numbers of events."""


class LogLine(NamedTuple):
    """A line of a node's log.

    Attributes:
        time: The collector's time if the line has one, else the node's, in seconds.
        level: The log level, "INFO", "WARNING" and so on.
        node: The node's name.
        message: The message text.
        counts: Numbers of events since the node's previous counts line, by name; empty for other lines.
        gauges: Values at the time of the line, by name; empty for other lines.
    """

    time: float
    level: str
    node: str
    message: str
    counts: dict[str, int]
    gauges: dict[str, int]


def parse_line(text):
    """Returns the `LogLine` of a text line, or None if it is not a node log line.

    >>> line = parse_line(
    ...     "2026-12-01T10:00:05.250+0000 INFO n1 counts taken=7 wait_ms=1.0/2.5/3.0 listed=9 out=2"
    ... )
    >>> line.time % 60, line.node, line.counts, line.gauges
    (5.25, 'n1', {'taken': 7}, {'listed': 9, 'out': 2})
    >>> parse_line("1.159 2026-12-01T10:00:05.250+00:00 INFO n1 phase a -> b").time
    1.159
    >>> parse_line("Traceback (most recent call last):") is None
    True
    """
    match = _LINE.match(text)
    if not match:
        return None
    collector_time, node_time, zone, level, node, message = match.groups()
    try:
        time = datetime.strptime(node_time + zone.replace(":", ""), _TIME_FORMAT).timestamp()
    except ValueError:
        return None
    if collector_time:
        time = float(collector_time)
    counts, gauges = _parse_counts(message)
    return LogLine(time, level, node, message, counts, gauges)


def _parse_counts(message):
    """Returns the counts and gauges of a message; values that are not integers are ignored."""
    counts = {}
    gauges = {}
    if message.startswith(_COUNTS_PREFIX):
        for field in message.split()[1:]:
            name, _, value = field.partition("=")
            if value.isascii() and value.isdigit():
                values = gauges if name in GAUGE_NAMES else counts
                values[name] = int(value)
    return counts, gauges


def list_files(paths):
    """Returns all files at or below the paths; those in a folder are sorted by name.

    Raises:
        OSError: A path is neither a folder nor a readable file.
    """
    files = []
    for path in map(Path, paths):
        if path.is_dir():
            files += sorted(entry for entry in path.rglob("*") if entry.is_file())
        else:
            path.open("rb").close()
            files.append(path)
    return files


def read_lines(path):
    """Yields a `LogLine` or None for each line of a file; invalid UTF-8 is replaced."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            yield parse_line(text.rstrip("\n"))
