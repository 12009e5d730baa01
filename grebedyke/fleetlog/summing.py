"""What all nodes did, by spans of time. Plain sums: nothing here reads a file or a clock."""

from collections import Counter, defaultdict

from grebedyke.service.metrics import ACTIVITY_COUNTS, ANSWER_COUNTS, FAILURE_COUNTS

COLUMNS = (
    "nodes",
    "taken",
    *ANSWER_COUNTS,
    *ACTIVITY_COUNTS,
    *FAILURE_COUNTS.values(),
    "held",
    "out",
    "listed",
    "warnings",
)


class Fleet:
    """Sums over nodes by span of `span` seconds.

    A node's counts are of the time since its line before (its first line's, of the usual distance between its
    lines) and are spread evenly over it. Levels hold until the node's next line. Lines without a node's form
    are counted as `odd`.
    """

    def __init__(self, span=1.0):
        self.span, self.odd = span, 0
        self.told = defaultdict(list)  # by file and node: (at, counts, levels)
        self.warnings, self.events = Counter(), Counter()

    def add(self, source, line):
        if line is None:
            self.odd += 1
            return
        if line.counts or line.levels:
            self.told[source, line.node].append((line.at, line.counts, line.levels))
        elif line.level in ("WARNING", "ERROR", "CRITICAL"):
            self.warnings[line.at // self.span] += 1
            self.events[line.level, pattern(line.message)] += 1

    def rows(self):
        """(seconds since the first span, {column: number}) in order; spans in which nobody spoke are
        there.
        """
        sums = defaultdict(Counter)
        for told in self.told.values():
            told.sort(key=lambda x: x[0])
            gaps = sorted(b[0] - a[0] for a, b in zip(told, told[1:]))
            usual = gaps[(len(gaps) - 1) // 2] if gaps else self.span
            before = told[0][0] - usual
            for at, counts, levels in told:
                # A process that began anew goes on in the same file: its first line is of its own time only.
                start = max(before, at - 1.5 * usual)
                for mark, part in shares(start, at, self.span):
                    for name, n in counts.items():
                        sums[mark][name] += n * part
                    for name, n in levels.items():
                        sums[mark][name] += n * min(part * (at - start) / self.span, 1)
                    sums[mark]["nodes"] += min(part * (at - start) / self.span, 1)
                before = at
        for mark, n in self.warnings.items():
            sums[mark]["warnings"] += n
        if not sums:
            return []
        first, last = int(min(sums)), int(max(sums))
        return [
            ((mark - first) * self.span, {name: sums[mark][name] for name in COLUMNS})
            for mark in range(first, last + 1)
        ]

    def total(self):
        whole = Counter()
        for told in self.told.values():
            for _, counts, _ in told:
                whole.update(counts)
        return whole


def shares(start, end, span):
    """The spans between two times, each with its share of them.

    >>> [(int(mark), round(part, 3)) for mark, part in shares(0.5, 2.5, 1.0)]
    [(0, 0.25), (1, 0.5), (2, 0.25)]
    >>> list(shares(3.0, 3.0, 1.0))
    [(3.0, 1.0)]
    """
    if end <= start:
        return [(end // span, 1.0)]
    marks, mark = [], start // span
    while mark * span < end:
        part = min(end, (mark + 1) * span) - max(start, mark * span)
        if part > 0:
            marks.append((mark, part / (end - start)))
        mark += 1
    return marks


def pattern(message):
    """A message without its figures, so that equal ones of many nodes are one.

    >>> pattern("discovery: version 12 after 14, the whole list")
    'discovery: version # after #, the whole list'
    """
    return " ".join(
        "#" + word.lstrip("0123456789") if word[:1].isdigit() else word for word in message.split()
    )
