"""Kinds of messages between two processes of one node, and the fields that announce what each handles."""

from enum import StrEnum

PROTOCOL_VERSION = 1
# Fields of HELLO and STATE: each side says that it handles the messages about identifiers. A process of an
# earlier version ignores the first and does not send the second.
TAKES_IDENTIFIERS = "takes_identifiers"
GIVES_IDENTIFIERS = "gives_identifiers"
# Field of HELLO and STATE: the sender handles LIST, EXCLUDED, EXCLUSION_LEASE and all fields of BAN, and the
# version that it sends is that of an applied list.
SHARES_UPDATES = "shares_updates"


class MessageKind(StrEnum):
    """Kinds of messages between the two processes; the values are part of the protocol.

    Attributes:
        HELLO: A successor has started.
        STATE: The predecessor's state, with its listening socket.
        READY: The successor is serving.
        JOB_UPDATE: A call-back about a request that the sender does not have.
        CONNECTION: A client's connection for the successor.
        LIST: An update of the endpoint list that the sender has applied.
        BAN: An operator or a component has banned an endpoint or ended the ban.
        EXCLUDED: The sender applies an exclusion of the receiver's components.
        EXCLUSION_LEASE: Until when the exclusions of the sender's components are complete.
        RELOAD: The sender received the signal to reload.
        TAKE_IDENTIFIERS: The successor asks for the ownership of identifiers; see `request_identifiers`.
        IDENTIFIERS: The predecessor gives it, with the identifiers that it holds.
        ENDED_IDENTIFIERS: A successor that ends tells which identifiers the predecessor has to refuse.
        CLAIM: The predecessor asks whether it may accept an identifier.
        DECISION: The successor's answer to a claim.
        RELEASE: An identifier that the predecessor has claimed is not in use any more.
    """

    HELLO = "hello"
    STATE = "books"
    READY = "ready"
    JOB_UPDATE = "news"
    CONNECTION = "client"
    LIST = "list"
    BAN = "hand"
    EXCLUDED = "excluded"
    EXCLUSION_LEASE = "exclusion-lease"
    RELOAD = "reload"
    TAKE_IDENTIFIERS = "take-identifiers"
    IDENTIFIERS = "identifiers"
    ENDED_IDENTIFIERS = "ended-identifiers"
    CLAIM = "claim"
    DECISION = "decision"
    RELEASE = "release"
