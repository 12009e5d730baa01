"""What the two sides of sharing and the election have in common at one node. No I/O."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from grebedyke.rate_limits.lease_terms import LeaseTerms


class NodeContext(NamedTuple):
    """One process of a node.

    Attributes:
        node_id: The node.
        process: A number that no other process has.
        terms: The terms of leases in the fleet.
        request_numbers: Numbers of this process's requests, of all kinds together.
        send: send(node, message) queues a typed message.
    """

    node_id: int
    process: int
    terms: LeaseTerms
    request_numbers: Iterator[int]
    send: Callable
