"""The context shared by the share client, the lease holder and the election at one node. No I/O."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from grebedyke.rate_limits.lease_terms import LeaseTerms


class NodeContext(NamedTuple):
    """The identity of a node's process, with the resources that its parts share.

    Attributes:
        node_id: The node's number.
        process: A unique number of the process.
        terms: The `LeaseTerms` of the fleet.
        request_numbers: Source of request numbers, shared by requests of all kinds.
        send: Callable send(node, message) that queues a typed message.
    """

    node_id: int
    process: int
    terms: LeaseTerms
    request_numbers: Iterator[int]
    send: Callable
