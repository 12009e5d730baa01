"""What a limit is, and the amounts that nodes and the lease holder calculate in. No I/O.

Amounts are whole numbers, so that sums are exact: requests in flight for a limit on concurrency, thousandths
of a request a second (millirequests) for a limit on a rate.
"""

from enum import Enum
from typing import NamedTuple
from zlib import crc32

MILLIREQUESTS_PER_REQUEST = 1_000
# The largest prime below 2^16: identifiers of limits fit into three bytes of msgpack.
_WIRE_ID_MODULUS = 65_521


class LimitKind(Enum):
    """What a limit counts; the values are part of the fingerprint, which nodes compare."""

    RATE = "rate"
    CONCURRENCY = "open"

    @property
    def units_per_request(self):
        """How many units of an amount of this kind make one request."""
        return MILLIREQUESTS_PER_REQUEST if self is LimitKind.RATE else 1


class Limit(NamedTuple):
    """A limit on what a tenant, an operation or both may have of all nodes together.

    Attributes:
        name: The same at all nodes.
        kind: Whether it limits a rate or concurrency.
        size: Of the whole fleet; requests in flight, or millirequests a second.
        burst: Whole requests beyond the rate, one of them for each node at least; 0 for concurrency.
        floor: What each node may use of it without a share, in the unit of `size`.
        tenant: Requests of that tenant only; None for all.
        operation: Requests of that operation only; None for all.
        soft: Requests over it are queued behind the rest instead of throttled.
        on_retries: It limits retries instead of requests.
    """

    name: str
    kind: LimitKind
    size: int
    burst: int = 0
    floor: int = 0
    tenant: str | None = None
    operation: str | None = None
    soft: bool = False
    on_retries: bool = False

    @property
    def wire_id(self):
        """Stands for the name in messages."""
        return wire_id_of(self.name)


def wire_id_of(name):
    """Returns the number that stands for the limit of this `name` in messages between nodes."""
    return crc32(name.encode()) % _WIRE_ID_MODULUS


def fingerprint(limits):
    """Returns a number that tells whether two nodes have the same limits, whatever their order.

    Nodes of other versions calculate it too, so it is taken from the plain values of all fields.
    """
    rows = sorted((name, kind.value, *others) for name, kind, *others in limits)
    return crc32(repr(rows).encode())


def grantable_amount(size, floor, node_count):
    """Returns what is left of a limit to be granted in shares once each node has its floor."""
    return max(size - node_count * floor, 0)
