"""Parses the nodes' log lines; what is no line of a node is None, for the caller to count."""

import re
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

# A collector may have put a time of its own before the line: seconds, of one clock for all nodes.
_LINE = re.compile(
    r"(?:(\d+\.\d+) )?"
    r"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3})([+-]\d\d:?\d\d) ([A-Z]+) (\S+) (.*)"
)
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%f%z"
_COUNTS_PREFIX = "counts "

LEVEL_NAMES = ("listed", "out", "held")
"""Of a line of counts: what stands at its moment, and is no number of events."""


class LogLine(NamedTuple):
    """A line of a node's log.

    Attributes:
        time: Seconds, of the collector's clock where it put a time, else of the node's.
        level: "INFO", "WARNING" and so on.
        node: The node's name.
        message: The text.
        counts: Numbers of events by name since the node's line before; empty where the line has none.
        levels: What stands at the line's moment, by name; empty where the line has none.
    """

    time: float
    level: str
    node: str
    message: str
    counts: dict[str, int]
    levels: dict[str, int]


def parse_line(text):
    """Returns the `LogLine` of a line; None where it is none of a node.

    >>> line = parse_line(
    ...     "2026-12-01T10:00:05.250+0000 INFO n1 counts taken=7 wait_ms=1.0/2.5/3.0 listed=9 out=2"
    ... )
    >>> line.time % 60, line.node, line.counts, line.levels
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
    counts, levels = _parse_counts(message)
    return LogLine(time, level, node, message, counts, levels)


def _parse_counts(message):
    """Returns the counts and the levels of a message; figures that are no integers are left out."""
    counts = {}
    levels = {}
    if message.startswith(_COUNTS_PREFIX):
        for field in message.split()[1:]:
            name, _, value = field.partition("=")
            if value.isascii() and value.isdigit():
                values = levels if name in LEVEL_NAMES else counts
                values[name] = int(value)
    return counts, levels


def list_files(paths):
    """Returns all files at or below the paths, in the order of their names.

    Raises:
        OSError: A path is neither a folder nor a file that can be read.
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
    """Yields a `LogLine` or None for each line of a file; bytes that are no UTF-8 do not matter."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            yield parse_line(text.rstrip("\n"))
