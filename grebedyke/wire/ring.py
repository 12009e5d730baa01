"""A ring of bytes: one for each direction of a connection."""


class RingBuffer:
    """Bytes of one direction, in a store that is never grown.

    >>> r = RingBuffer(8)
    >>> r.put(b"abcdef"), r.take(4), r.put(b"ghijk"), r.peek(), r.put(b"xyz")
    (True, b'abcd', True, b'efghijk', False)
    >>> r.free(), r.take(99), r.free(), len(r.room())
    (1, b'efghijk', 8, 8)
    """

    __slots__ = ("size", "view", "head", "used")

    def __init__(self, size):
        self.size, self.view, self.head, self.used = size, memoryview(bytearray(size)), 0, 0

    def free(self):
        return self.size - self.used

    def room(self):
        """The store to write into next, in one piece; empty only when the ring is full."""
        tail = self.head + self.used
        return self.view[tail:] if tail < self.size else self.view[tail - self.size : self.head]

    def wrote(self, n):
        self.used += n

    def put(self, data):
        if len(data) > self.size - self.used:
            return False
        while data:
            room = self.room()
            n = min(len(room), len(data))
            room[:n] = data[:n]
            self.used, data = self.used + n, data[n:]
        return True

    def peek(self):
        end = self.head + self.used
        if end <= self.size:
            return bytes(self.view[self.head : end])
        return bytes(self.view[self.head :]) + bytes(self.view[: end - self.size])

    def skip(self, n):
        self.used -= n
        # An empty ring begins anew at its start: most messages then lie in one piece.
        self.head = (self.head + n) % self.size if self.used else 0

    def take(self, n):
        data = self.peek()[:n]
        self.skip(len(data))
        return data
