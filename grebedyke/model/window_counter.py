"""Counts over a sliding window of time."""


class WindowCounter:
    """Counts over the last `spans` fixed spans of time, each bucket used again when its time is past.

    >>> counter = WindowCounter(10, 3)
    >>> counter.add(5, 2)
    >>> counter.add(12, 1)
    >>> counter.total(19), counter.total(19, 1), counter.total(30), counter.total(99)
    (3, 1, 1, 0)

    Attributes:
        span: Length of a bucket in ticks.
        spans: Number of buckets.
        marks: The number of the span that each bucket counts; -1 before its first use.
        sums: The count of each bucket.
    """

    __slots__ = ("marks", "span", "spans", "sums")

    def __init__(self, span, spans):
        self.span = span
        self.spans = spans
        self.marks = [-1] * spans
        self.sums = [0] * spans

    def add(self, now, amount=1):
        """Counts `amount` at `now`."""
        mark = now // self.span
        bucket = mark % self.spans
        if self.marks[bucket] != mark:
            self.marks[bucket] = mark
            self.sums[bucket] = 0
        self.sums[bucket] += amount

    def buckets(self):
        """(mark, count) of each bucket in use, the oldest first; a mark times the span is when it began."""
        return sorted((mark, count) for mark, count in zip(self.marks, self.sums, strict=True) if count)

    def total(self, now, spans=None):
        """The count of the last `spans` buckets, of all without it."""
        first = now // self.span - (spans or self.spans) + 1
        return sum(count for mark, count in zip(self.marks, self.sums, strict=True) if mark >= first)
