"""Random draws that depend on the seed alone."""

from zlib import crc32

# A plain counter's digits leave crc32 uneven; an odd multiple of it spreads over all bits.
COUNTER_STEP = 0x9E3779B97F4A7C15


class SeededRandom:
    """Same seed, same draws, whatever the process or the hash seed: crc32 over the seed and a counter.

    Attributes:
        seed: Hash of the given seed.
        count: The counter's state.
    """

    def __init__(self, seed):
        self.seed = crc32(str(seed).encode())
        self.count = 0

    def draw(self):
        """The next draw, from 0 to below 1."""
        self.count = (self.count + COUNTER_STEP) % 2**64
        return crc32(self.count.to_bytes(8, "little"), self.seed) / 2**32

    def pick(self, things):
        """One of a sequence, all alike."""
        return things[int(self.draw() * len(things))]
