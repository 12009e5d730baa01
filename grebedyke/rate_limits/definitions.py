"""The definition of a limit and the units of its amounts. No I/O.

Amounts are integers, so that sums are exact: requests in flight for a concurrency limit, thousandths of a
request per second (millirequests per second) for a rate limit.
"""

from enum import Enum
from typing import NamedTuple
from zlib import crc32

MILLIREQUESTS_PER_REQUEST = 1_000
# The largest prime below 2^16, so that identifiers of limits take at most three bytes in msgpack.
_WIRE_ID_MODULUS = 65_521


class LimitKind(Enum):
    """The quantity that a limit counts; the values are part of the fingerprint, which nodes compare."""

    RATE = "rate"
    CONCURRENCY = "open"

    @property
    def units_per_request(self):
        """Number of units of this kind that correspond to one request."""
        return MILLIREQUESTS_PER_REQUEST if self is LimitKind.RATE else 1


class Limit(NamedTuple):
    """A fleet-wide limit on the requests of a tenant, of an operation, or of both.

    Attributes:
        name: Its name, the same at all nodes.
        kind: Whether it limits a rate or concurrency.
        size: The limit for the whole fleet, in requests in flight or millirequests per second.
        burst: Number of requests allowed beyond the rate, at least one per node; 0 for concurrency.
        floor: The amount that each node may use without a share, in the unit of `size`.
        tenant: The tenant whose requests it limits; None for all tenants.
        operation: The operation whose requests it limits; None for all operations.
        soft: Whether requests over the limit are queued behind all others instead of throttled.
        on_retries: Whether it limits retries instead of requests.
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
        """The number that represents the limit in messages between nodes."""
        return wire_id_of(self.name)


def wire_id_of(name):
    """Returns the number that represents the limit with this `name` in messages between nodes."""
    return crc32(name.encode()) % _WIRE_ID_MODULUS


def fingerprint(limits):
    """Returns a checksum of the limits, independent of their order, by which nodes compare their limits.

    Nodes of other versions compute it too, so it depends only on the plain values of all fields.
    """
    rows = sorted((name, kind.value, *others) for name, kind, *others in limits)
    return crc32(repr(rows).encode())


def grantable_amount(size, floor, node_count):
    """Returns the amount of a limit that can be granted as shares after the floors of all nodes."""
    return max(size - node_count * floor, 0)
