"""Pseudorandom numbers that depend on the seed alone."""

from zlib import crc32

# Consecutive integers give an uneven distribution under crc32; an odd multiple spreads over all bits.
COUNTER_STEP = 0x9E3779B97F4A7C15


class SeededRandom:
    """Pseudorandom generator, crc32 of the seed and a counter; independent of process and PYTHONHASHSEED.

    Attributes:
        seed: Hash of the given seed.
        count: State of the counter.
    """

    def __init__(self, seed):
        self.seed = crc32(str(seed).encode())
        self.count = 0

    def draw(self):
        """Returns the next number in the range [0, 1)."""
        self.count = (self.count + COUNTER_STEP) % 2**64
        return crc32(self.count.to_bytes(8, "little"), self.seed) / 2**32

    def pick(self, things):
        """Returns an element of a sequence, drawn uniformly."""
        return things[int(self.draw() * len(things))]
