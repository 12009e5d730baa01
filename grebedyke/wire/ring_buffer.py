"""A ring buffer of bytes: each connection has one for each direction."""


class RingBuffer:
    """A byte queue in a store of fixed size.

    >>> ring = RingBuffer(8)
    >>> ring.put(b"abcdef"), ring.take(4), ring.put(b"ghijk"), ring.peek(), ring.put(b"xyz")
    (True, b'abcd', True, b'efghijk', False)
    >>> ring.free(), ring.take(99), ring.free(), len(ring.writable())
    (1, b'efghijk', 8, 8)

    Attributes:
        capacity: Size of the store in bytes; it never grows.
        store: The store, as a writable memoryview.
        start: Index of the oldest byte in the store.
        used: Number of bytes in the queue.
    """

    __slots__ = ("capacity", "store", "start", "used")

    def __init__(self, capacity):
        self.capacity = capacity
        self.store = memoryview(bytearray(capacity))
        self.start = 0
        self.used = 0

    def free(self):
        """Returns how many more bytes fit in."""
        return self.capacity - self.used

    def writable(self):
        """Returns the part of the store to write into next, in one piece; empty only when the ring is full.

        What was written there counts once `commit` is called.
        """
        end = self.start + self.used
        if end < self.capacity:
            return self.store[end:]
        return self.store[end - self.capacity : self.start]

    def commit(self, count):
        """Adds the first `count` bytes of the last `writable` part to the queue."""
        self.used += count

    def put(self, data):
        """Appends all of `data`, or nothing if it does not fit; returns whether it was appended."""
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
        """Returns a copy of all bytes in the queue and leaves them there."""
        end = self.start + self.used
        if end <= self.capacity:
            return bytes(self.store[self.start : end])
        return bytes(self.store[self.start :]) + bytes(self.store[: end - self.capacity])

    def skip(self, count):
        """Drops the `count` oldest bytes."""
        self.used -= count
        # An empty ring starts again at its beginning: most messages then lie in one piece.
        self.start = (self.start + count) % self.capacity if self.used else 0

    def take(self, count):
        """Removes and returns the `count` oldest bytes, or all if there are fewer."""
        data = self.peek()[:count]
        self.skip(len(data))
        return data
