"""The messages between nodes by which a view of the rollout is kept certain, and their wire form. No I/O."""

from enum import StrEnum
from typing import NamedTuple


class MessageKind(StrEnum):
    """The first element of a message's wire form."""

    LEASE_REQUEST = "m"
    LEASE_ANSWER = "M"


class LeaseRequest(NamedTuple):
    """A node asks a voter to confirm that its view is the newest; the fields are in the order of the wire.

    Attributes:
        number: The request's number; the answer carries it.
        revision: The newest revision that the node knows.
        acknowledged_revision: The revision up to which the node has the rollout on its disk and no attempt
            in flight at a machine that is out.
        process: A number that no other process has.
        epoch: The epoch of the voters that the node knows.
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
            TypeError: A field is missing or of another type.
            ValueError: A field is no number.
        """
        # A later build may add fields; they are left alone.
        return cls(*map(int, fields[: len(cls._fields)]))

    def encode(self):
        """Returns the wire form."""
        return [MessageKind.LEASE_REQUEST.value, *self]


class LeaseAnswer(NamedTuple):
    """A voter's answer to a `LeaseRequest`; the fields are in the order of the wire.

    Attributes:
        number: The request's number.
        granted: Whether the voter has accepted no newer revision than the node knows.
        epoch: The epoch of the voters that the voter knows.
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
            TypeError: A field is of another type.
            ValueError: A field is missing or no number.
        """
        number, granted, epoch, voters = fields[: len(cls._fields)]
        return cls(int(number), bool(granted), int(epoch), [int(voter) for voter in voters])

    def encode(self):
        """Returns the wire form."""
        return [MessageKind.LEASE_ANSWER.value, *self]
