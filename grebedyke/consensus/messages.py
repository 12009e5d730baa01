"""The consensus messages: one class for each kind, decoded on receipt and encoded on sending.

On the wire a message is a list of its kind and its fields, in the order of the class. A later build may add
fields at the end; they are ignored. docs/agreement.md explains the fields.
"""

from grebedyke.consensus.recovery_messages import RejoinRequest, RejoinState, Status, StatusQuery
from grebedyke.consensus.value_messages import ChosenDelta, ChosenValue, ValueQuery, VoteCount
from grebedyke.consensus.voting_messages import Accepted, AcceptRequest, Prepare, Promise, Refusal

MESSAGES = {
    message.kind: message
    for message in (
        Prepare,
        Promise,
        AcceptRequest,
        Accepted,
        Refusal,
        VoteCount,
        ChosenValue,
        ChosenDelta,
        ValueQuery,
        StatusQuery,
        Status,
        RejoinRequest,
        RejoinState,
    )
}
"""The message class of each wire kind."""


def encode(message):
    """Returns the wire form of a message.

    >>> encode(ValueQuery("board"))
    ['?', 'board']
    """
    return [message.kind, *message]
