"""Identifiers of ended requests whose job may have run, kept so that the job is not run a second time."""

# Bounds the memory: with identifiers of 128 bytes about 10 MB.
MAX_IDENTIFIERS = 32_768


class IdentifierMemory:
    """Remembers identifiers until a given time, and forgets the oldest ones if there are too many.

    >>> memory = IdentifierMemory(2)
    >>> memory.remember(0, b"a", 10)
    >>> memory.remember(0, b"b", 10)
    >>> memory.knows(9, b"a"), memory.knows(10, b"a")
    (True, False)
    >>> memory.remember(0, b"c", 10)
    >>> memory.knows(0, b"a"), memory.knows(0, b"b"), memory.knows(0, b"c")
    (False, True, True)

    Attributes:
        max_count: Maximum number of identifiers.
        known_until: Time in ticks by identifier, in the order in which they were remembered.
    """

    def __init__(self, max_count=MAX_IDENTIFIERS):
        self.max_count = max_count
        self.known_until = {}

    def remember(self, now, request_id, known_until):
        """Remembers an identifier at least until the time `known_until`, in ticks."""
        known_before = self.known_until.pop(request_id, known_until)
        self.known_until[request_id] = max(known_before, known_until)
        self._forget_oldest(now)

    def _forget_oldest(self, now):
        while self.known_until:
            oldest = next(iter(self.known_until))
            if len(self.known_until) <= self.max_count and self.known_until[oldest] > now:
                return
            del self.known_until[oldest]

    def knows(self, now, request_id):
        """Returns whether an identifier is remembered."""
        return self.known_until.get(request_id, now) > now

    def entries(self):
        """Returns all identifiers with the times until which they are remembered."""
        return list(self.known_until.items())
