"""Bounds the memory that the messages of all client connections hold together, in both directions."""

BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1_000
# Share of the node's memory limit for messages. During a hot restart two processes share the limit, and each
# also needs its own code, buffers and tables.
MESSAGE_SHARE = 1 / 8


def max_message_bytes(memory_mb):
    """Returns the bound in bytes for a node with a memory limit in MB."""
    return int(memory_mb * BYTES_PER_MB * MESSAGE_SHARE)


class MessageMemory:
    """The bytes held for each connection: of an incomplete message, an open request or an unread answer.

    >>> memory = MessageMemory(10)
    >>> memory.update("a", 6)
    >>> memory.update("b", 5)
    >>> memory.is_exceeded()
    True
    >>> memory.update("a", 0)
    >>> memory.total, memory.held
    (5, {'b': 5})

    Attributes:
        max_bytes: The bound in bytes.
        total: The sum in bytes.
        held: Bytes by connection, in the order in which they began to hold some.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.total = 0
        self.held = {}

    def update(self, connection, size):
        """Records how many bytes are held for a connection."""
        self.total += size - self.held.get(connection, 0)
        if size:
            self.held[connection] = size
        else:
            self.held.pop(connection, None)

    def has_room(self, connection, size):
        """Returns whether a connection may hold `size` bytes in place of what it holds now."""
        return self.total - self.held.get(connection, 0) + size <= self.max_bytes

    def held_kb(self):
        """Returns how much is held, in kB."""
        return self.total // BYTES_PER_KB

    def is_exceeded(self):
        """Returns whether more is held than allowed."""
        return self.total > self.max_bytes
