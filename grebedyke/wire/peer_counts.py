"""Counts events by the address of the peer that caused them, in bounded memory."""

MAX_ADDRESSES = 64


class PeerCounts:
    """The addresses that caused the most events, by the space-saving algorithm (Metwally et al., 2005).

    An address that comes up while the table is full takes the place and the count of the least frequent one,
    so a count may be too high by that, but the most frequent addresses are never missing.

    >>> counts = PeerCounts(2)
    >>> for address in "aabac":
    ...     counts.add(address)
    >>> counts.busiest(), counts.counts
    (('a', 3), {'a': 3, 'c': 2})

    Attributes:
        max_addresses: Maximum number of addresses.
        counts: Number of events by address.
    """

    def __init__(self, max_addresses=MAX_ADDRESSES):
        self.max_addresses = max_addresses
        self.counts = {}

    def add(self, address):
        """Counts an event of an address."""
        counts = self.counts
        if address not in counts and len(counts) >= self.max_addresses:
            least = min(counts, key=counts.get)
            counts[address] = counts.pop(least)
        counts[address] = counts.get(address, 0) + 1

    def busiest(self):
        """Returns the address with the most events and their number; None without events."""
        if not self.counts:
            return None
        address = max(self.counts, key=self.counts.get)
        return address, self.counts[address]

    def clear(self):
        """Forgets all events."""
        self.counts.clear()
