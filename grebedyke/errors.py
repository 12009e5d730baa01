"""Exception hierarchy of this package.

All deliberately raised errors derive from `GrebedykeError`, so callers can distinguish a reported problem
from a defect.
"""


class GrebedykeError(Exception):
    """Base class of all errors that this package raises deliberately."""


class ConfigurationError(GrebedykeError):
    """A configuration, plan or setting is invalid; the message is one line for an operator.

    Attributes:
        path: Keys and list indices of the invalid value in its file; empty if there is no such value.
    """

    def __init__(self, problem, path=()):
        """Stores the one-line message `problem` and the `path` of the invalid value."""
        super().__init__(problem)
        self.path = tuple(path)


class RecordError(GrebedykeError):
    """A record on disk is unusable."""


class CorruptRecordError(RecordError):
    """The content of a record file is not as written: it is truncated or its checksum does not match."""


class ForeignRecordError(RecordError):
    """A record was written by another node or for another fleet."""


class LogRangeError(GrebedykeError):
    """Timestamps in a fleet's logs are too far apart to come from one clock."""


class MalformedBatchError(GrebedykeError):
    """A line from the simulator is not a valid batch of events."""


class MalformedMessageError(GrebedykeError):
    """An HTTP message received by an emulator or a tool cannot be parsed."""


class HttpProtocolError(GrebedykeError):
    """A peer has sent an invalid or unacceptable HTTP/1.1 message; the error message names the fault.

    Attributes:
        status: Status code of the response that is sent before the connection is closed.
    """

    def __init__(self, status, problem):
        """Stores the `status` of the response; `problem` is a one-line message for the peer and the log."""
        super().__init__(problem)
        self.status = status
