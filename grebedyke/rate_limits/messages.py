"""The messages between nodes about limits, and their wire form. No I/O.

The wire form is a list: the message's kind, then its fields in the order of the class. Newer versions may
append fields, which are dropped here. Existing fields are never removed or reordered, as nodes of two
versions run side by side. Rows inside a message are decoded only when it is handled, as most late or
duplicate messages are dropped by their numbers alone.
"""

from typing import NamedTuple


class ShareRequest(NamedTuple):
    """A node's request to the lease holder for its shares of all limits.

    Attributes:
        number: Number of the request; increases with each request of the process.
        term: The holder's term as known to the node.
        process: Number of the process, unique among the node's processes.
        received_number: Number of the newest request answered by this holder; 0 for none.
        fingerprint: Fingerprint of the node's limits.
        usage: A row for each limit with demand, requests in flight or a share: wire identifier, demand in
            units of the limit, requests in flight.
        sizes: If the holder's limits differ, a row for each limit: wire identifier, size and floor in units
            of the limit.
    """

    number: int
    term: int
    process: int
    received_number: int
    fingerprint: int
    usage: list
    sizes: list

    def usage_by_limit(self):
        """Returns pairs (demand, requests in flight) by wire identifier."""
        return {int(wire_id): (int(demand), int(in_flight)) for wire_id, demand, in_flight in self.usage}

    def sizes_by_limit(self):
        """Returns pairs (size, floor) by wire identifier."""
        return {int(wire_id): (int(size), int(floor)) for wire_id, size, floor in self.sizes}


class ShareGrant(NamedTuple):
    """The lease holder's answer to a `ShareRequest`.

    Attributes:
        number: Number of the request.
        term: The holder's term.
        limits_differ: Whether the holder's limits differ from those of the node.
        shares: A row for each share that is not 0: wire identifier, amount in units of the limit.
    """

    number: int
    term: int
    limits_differ: bool
    shares: list

    def shares_by_limit(self):
        """Returns amounts by wire identifier."""
        return {int(wire_id): int(amount) for wire_id, amount in self.shares}


class RenewalRequest(NamedTuple):
    """The lease holder's request to a voter to confirm it as the holder for another lease.

    Attributes:
        number: Number of the request; increases with each request of the process.
        term: The holder's term.
        is_certain: Whether the holder is currently confirmed, or new; if not, the voter does not restart its
            election timeout.
        epoch: The voters' epoch as known to the holder.
    """

    number: int
    term: int
    is_certain: bool
    epoch: int


class RenewalAnswer(NamedTuple):
    """A voter's answer to a `RenewalRequest`.

    Attributes:
        number: Number of the request.
        confirmed: Whether the voter has accepted no later holder and has the same epoch.
        epoch: The voters' epoch as known to the voter.
        members: The voters of that epoch.
    """

    number: int
    confirmed: bool
    epoch: int
    members: list


_TYPES_BY_KIND = {"s": ShareRequest, "S": ShareGrant, "t": RenewalRequest, "T": RenewalAnswer}
_KINDS_BY_TYPE = {message_type: kind for kind, message_type in _TYPES_BY_KIND.items()}


def is_limits_message(wire_message):
    """Returns whether a message belongs to this package, according to its kind."""
    # Compared with a tuple because the first element of an unknown message may not be hashable.
    return wire_message[0] in tuple(_TYPES_BY_KIND)


def encode(message):
    """Returns the wire form of a message.

    >>> encode(RenewalRequest(7, 2, True, 1))
    ['t', 7, 2, True, 1]
    """
    return [_KINDS_BY_TYPE[type(message)], *message]


def decode(wire_message):
    """Returns the message decoded from its wire form.

    >>> decode(["t", 7, 2, True, 1, "of a later build"])
    RenewalRequest(number=7, term=2, is_certain=True, epoch=1)

    Raises:
        TypeError: Fields are missing.
    """
    kind, *fields = wire_message
    message_type = _TYPES_BY_KIND[kind]
    return message_type(*fields[: len(message_type._fields)])
