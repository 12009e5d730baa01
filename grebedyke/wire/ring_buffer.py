"""A ring buffer of bytes; each connection has one per direction."""


class RingBuffer:
    """A byte queue of fixed capacity.

    >>> ring = RingBuffer(8)
    >>> ring.put(b"abcdef"), ring.take(4), ring.put(b"ghijk"), ring.peek(), ring.put(b"xyz")
    (True, b'abcd', True, b'efghijk', False)
    >>> ring.free(), ring.take(99), ring.free(), len(ring.writable())
    (1, b'efghijk', 8, 8)

    Attributes:
        capacity: Size of the storage in bytes.
        storage: The bytes, as a writable memoryview.
        start: Index of the oldest byte in `storage`.
        used: Number of bytes in the queue.
    """

    __slots__ = ("capacity", "storage", "start", "used")

    def __init__(self, capacity):
        self.capacity = capacity
        self.storage = memoryview(bytearray(capacity))
        self.start = 0
        self.used = 0

    def free(self):
        """Returns the number of free bytes."""
        return self.capacity - self.used

    def writable(self):
        """Returns the next contiguous part of the storage to write into; empty only if the ring is full.

        Bytes written there are added to the queue by `commit`.
        """
        end = self.start + self.used
        if end < self.capacity:
            return self.storage[end:]
        return self.storage[end - self.capacity : self.start]

    def commit(self, count):
        """Adds the first `count` bytes of the last `writable()` to the queue."""
        self.used += count

    def put(self, data):
        """Appends all of `data` and returns True, or returns False if it does not fit."""
        if len(data) > self.capacity - self.used:
            return False
        while data:
            part = self.writable()
            count = min(len(part), len(data))
            part[:count] = data[:count]
            self.used += count
            data = data[count:]
        return True

    def peek(self):
        """Returns a copy of all bytes without removing them."""
        end = self.start + self.used
        if end <= self.capacity:
            return bytes(self.storage[self.start : end])
        return bytes(self.storage[self.start :]) + bytes(self.storage[: end - self.capacity])

    def skip(self, count):
        """Removes the `count` oldest bytes."""
        self.used -= count
        # An empty ring restarts at index 0, so most messages are contiguous.
        self.start = (self.start + count) % self.capacity if self.used else 0

    def take(self, count):
        """Removes and returns up to `count` of the oldest bytes."""
        data = self.peek()[:count]
        self.skip(len(data))
        return data
