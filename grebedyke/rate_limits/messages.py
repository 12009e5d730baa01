"""Messages between nodes about limits, and their form on the wire. No I/O.

On the wire a message is a list: its kind, then its fields in the order of the class. A later build may append
fields; they are dropped here. The number and the order of fields never change, as nodes of two versions run
beside each other. Rows inside a message are decoded where it is handled, as most messages that arrive late or
twice are dropped by their numbers alone.
"""

from typing import NamedTuple


class ShareRequest(NamedTuple):
    """A node asks the lease holder for its shares of all limits.

    Attributes:
        number: Counts up with each request of the process.
        term: The holder's term, as the node knows it.
        process: Tells the node's processes apart.
        received_number: Number of the newest request that this holder has answered; 0 for none.
        fingerprint: Of the node's limits.
        usage: A row for each limit that is wanted or used: wire identifier, demand, requests in flight.
        sizes: A row for each limit where the holder's limits differ: wire identifier, size, floor.
    """

    number: int
    term: int
    process: int
    received_number: int
    fingerprint: int
    usage: list
    sizes: list

    def usage_by_limit(self):
        """Returns (demand, requests in flight) by wire identifier."""
        return {int(limit): (int(demand), int(in_flight)) for limit, demand, in_flight in self.usage}

    def sizes_by_limit(self):
        """Returns (size, floor) by wire identifier."""
        return {int(limit): (int(size), int(floor)) for limit, size, floor in self.sizes}


class ShareGrant(NamedTuple):
    """The lease holder's answer to a `ShareRequest`.

    Attributes:
        number: Number of the request.
        term: The holder's term.
        limits_differ: The holder has other limits than the node.
        shares: A row for each share that is not 0: wire identifier, amount.
    """

    number: int
    term: int
    limits_differ: bool
    shares: list

    def shares_by_limit(self):
        """Returns amounts by wire identifier."""
        return {int(limit): int(amount) for limit, amount in self.shares}


class PlaceRequest(NamedTuple):
    """The lease holder asks a voter to confirm its place for another lease.

    Attributes:
        number: Counts up with each request of the process.
        term: The holder's term.
        is_certain: The holder's place is confirmed at present; if not, the voter does not count this as a
            sign of life of a holder.
        epoch: Epoch of the voters, as the holder knows it.
    """

    number: int
    term: int
    is_certain: bool
    epoch: int


class PlaceAnswer(NamedTuple):
    """A voter's answer to a `PlaceRequest`.

    Attributes:
        number: Number of the request.
        confirmed: The voter has accepted no later holder and has the same epoch.
        epoch: Epoch of the voters, as the voter knows it.
        members: The voters of that epoch.
    """

    number: int
    confirmed: bool
    epoch: int
    members: list


_KINDS = {"s": ShareRequest, "S": ShareGrant, "t": PlaceRequest, "T": PlaceAnswer}
_TAGS = {message_type: kind for kind, message_type in _KINDS.items()}


def is_limits_message(wire_message):
    """Returns whether a message is one of this package, by its kind."""
    # A tuple, as what another build sends in place of a kind may not be hashable.
    return wire_message[0] in tuple(_KINDS)


def encode(message):
    """Returns the wire form of a message.

    >>> encode(PlaceRequest(7, 2, True, 1))
    ['t', 7, 2, True, 1]
    """
    return [_TAGS[type(message)], *message]


def decode(wire_message):
    """Returns the message of a wire form.

    >>> decode(["t", 7, 2, True, 1, "of a later build"])
    PlaceRequest(number=7, term=2, is_certain=True, epoch=1)

    Raises:
        TypeError: Fields are missing.
    """
    kind, *fields = wire_message
    message_type = _KINDS[kind]
    return message_type(*fields[: len(message_type._fields)])
