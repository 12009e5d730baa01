"""Log lines into times, nodes and counts. Whatever is no line of a node's is counted and passed over."""

import re
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

# A collector may have put its own clock before the line: seconds, the same for all nodes.
FORM = re.compile(
    r"(?:(\d+\.\d+) )?"
    r"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3})([+-]\d\d:?\d\d) ([A-Z]+) (\S+) (.*)"
)
# What a line has beside counts: how things stand at its moment.
LEVELS = "listed", "out", "held"


class Line(NamedTuple):
    """`at`: seconds, of the clock that wrote it; `counts`, `levels`: by name, empty where it tells none."""

    at: float
    level: str
    node: str
    message: str
    counts: dict
    levels: dict


def read(text):
    """Parses one log line.

    >>> line = read("2026-12-01T10:00:05.250+0000 INFO n1 counts taken=7 wait_ms=1.0/2.5/3.0 listed=9 out=2")
    >>> line.at % 60, line.node, line.counts, line.levels
    (5.25, 'n1', {'taken': 7}, {'listed': 9, 'out': 2})
    >>> read("1.159 2026-12-01T10:00:05.250+00:00 INFO n1 phase a -> b").at
    1.159
    >>> read("Traceback (most recent call last):") is None
    True
    """
    form = FORM.match(text)
    if not form:
        return None
    try:
        at = datetime.strptime(form[2] + form[3].replace(":", ""), "%Y-%m-%dT%H:%M:%S.%f%z").timestamp()
    except ValueError:
        return None
    counts, levels = {}, {}
    if form[6].startswith("counts "):
        for word in form[6].split()[1:]:
            name, _, value = word.partition("=")
            if value.isascii() and value.isdigit():
                (levels if name in LEVELS else counts)[name] = int(value)
    return Line(float(form[1]) if form[1] else at, form[4], form[5], form[6], counts, levels)


def files(paths):
    """All files below the paths, in order of their names; a path that is neither is OSError."""
    found = []
    for path in map(Path, paths):
        if path.is_dir():
            found += sorted(p for p in path.rglob("*") if p.is_file())
        else:
            path.open("rb").close()
            found.append(path)
    return found


def lines(path):
    """The lines of one file with its place; odd bytes are no reason to leave a file out."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            yield read(text.rstrip("\n"))
