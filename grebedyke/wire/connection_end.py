"""Why a connection of the client listener ended."""

from enum import StrEnum


class ConnectionEnd(StrEnum):
    """Reason for the end of a connection; the values are names of counts in the log.

    Attributes:
        BY_PEER: The peer closed or reset it.
        UNREAD: The peer had closed it before the node read anything.
        DONE: The node closed it after a response, as the message or the listener's state demanded.
        MALFORMED: The node closed it after the error response to a malformed message.
        OVERDUE: A message was not complete in time.
        OVERFLOWED: The client sent more behind its open request than the node keeps.
        EVICTED: Another connection needed its file descriptor.
        NO_MEMORY: Its incomplete message was refused for lack of memory.
        NOT_READING: Its client did not read the answer, and there was a lack of memory.
        SHUTDOWN: The node was stopping.
        HANDED_OVER: The other process of this node has it now.
        FAULT: An error of this program while handling its message.
    """

    BY_PEER = "end_by_peer"
    UNREAD = "end_unread"
    DONE = "end_done"
    MALFORMED = "end_malformed"
    OVERDUE = "end_overdue"
    OVERFLOWED = "end_overflowed"
    EVICTED = "end_evicted"
    NO_MEMORY = "end_no_memory"
    NOT_READING = "end_not_reading"
    SHUTDOWN = "end_shutdown"
    HANDED_OVER = "end_handed_over"
    FAULT = "end_fault"
