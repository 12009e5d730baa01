"""The messages that request and grant leases on the view of the rollout, with their wire form. No I/O."""

from enum import StrEnum
from typing import NamedTuple


class MessageKind(StrEnum):
    """The kind of a message, the first element of its wire form."""

    LEASE_REQUEST = "m"
    LEASE_ANSWER = "M"


class LeaseRequest(NamedTuple):
    """A node's request to a voter to confirm that its view is the newest; the fields are in wire order.

    Attributes:
        number: The request's number, repeated in the answer.
        revision: The newest revision that the node has received.
        acknowledged_revision: The newest revision that the node has on disk and for which it has no attempts
            in flight at machines that are out.
        process: A unique number of the node's process.
        epoch: The voters' epoch as known to the node.
    """

    number: int
    revision: int
    acknowledged_revision: int
    process: int
    epoch: int

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields.

        Raises:
            TypeError: A field is missing or has a wrong type.
            ValueError: A field is not a number.
        """
        # Newer versions may append fields, which are ignored.
        return cls(*map(int, fields[: len(cls._fields)]))

    def encode(self):
        """Returns the wire form."""
        return [MessageKind.LEASE_REQUEST.value, *self]


class LeaseAnswer(NamedTuple):
    """A voter's answer to a `LeaseRequest`; the fields are in wire order.

    Attributes:
        number: The request's number.
        granted: Whether the voter grants the lease: it has accepted no newer revision and has the same epoch.
        epoch: The voters' epoch as known to the voter.
        voters: The voters of that epoch.
    """

    number: int
    granted: bool
    epoch: int
    voters: list[int]

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields.

        Raises:
            TypeError: A field has a wrong type.
            ValueError: A field is missing or not a number.
        """
        number, granted, epoch, voters = fields[: len(cls._fields)]
        return cls(int(number), bool(granted), int(epoch), [int(voter) for voter in voters])

    def encode(self):
        """Returns the wire form."""
        return [MessageKind.LEASE_ANSWER.value, *self]
