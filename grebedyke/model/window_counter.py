"""Counts over a sliding window of time."""


class WindowCounter:
    """Counts over the last `bucket_count` intervals of fixed length, in a ring of buckets.

    >>> counter = WindowCounter(10, 3)
    >>> counter.add(5, 2)
    >>> counter.add(12, 1)
    >>> counter.total(19), counter.total(19, 1), counter.total(30), counter.total(99)
    (3, 1, 1, 0)

    Attributes:
        bucket_length: Length of the interval of a bucket, in ticks.
        bucket_count: Number of buckets.
        bucket_numbers: For each bucket, the time divided by `bucket_length`, rounded down; -1 before its
            first use.
        counts: The count of each bucket.
    """

    __slots__ = ("bucket_count", "bucket_length", "bucket_numbers", "counts")

    def __init__(self, bucket_length, bucket_count):
        self.bucket_length = bucket_length
        self.bucket_count = bucket_count
        self.bucket_numbers = [-1] * bucket_count
        self.counts = [0] * bucket_count

    def add(self, now, amount=1):
        """Adds `amount` to the bucket of the time `now`."""
        number = now // self.bucket_length
        bucket = number % self.bucket_count
        if self.bucket_numbers[bucket] != number:
            self.bucket_numbers[bucket] = number
            self.counts[bucket] = 0
        self.counts[bucket] += amount

    def buckets(self):
        """Returns (number, count) of each bucket whose count is not 0, the oldest first.

        The interval of a bucket begins at its number times `bucket_length`.
        """
        return sorted(
            (number, count) for number, count in zip(self.bucket_numbers, self.counts, strict=True) if count
        )

    def total(self, now, last=None):
        """Returns the count of the last `last` buckets, by default of all."""
        first = now // self.bucket_length - (last or self.bucket_count) + 1
        return sum(
            count for number, count in zip(self.bucket_numbers, self.counts, strict=True) if number >= first
        )
