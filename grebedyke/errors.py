"""The tree of errors that this package raises.

Everything that is raised on purpose derives from `GrebedykeError`, so that a caller can tell a reported
problem from a defect.
"""


class GrebedykeError(Exception):
    """Base class of all errors raised on purpose by this package."""


class ConfigurationError(GrebedykeError):
    """A configuration, plan or setting cannot be used; the message is one plain line for an operator.

    Attributes:
        path: Keys and list indices that lead to the faulty value in its file; empty where there is none.
    """

    def __init__(self, problem, path=()):
        """Keeps the one-line `problem` and the `path` to the faulty value."""
        super().__init__(problem)
        self.path = tuple(path)


class RecordError(GrebedykeError):
    """A record on disk cannot be used."""


class CorruptRecordError(RecordError):
    """The file exists, but its content is not what was written: it is truncated or its checksum differs."""


class ForeignRecordError(RecordError):
    """The record was written by another node or for another fleet."""


class LogRangeError(GrebedykeError):
    """The lines of a fleet's logs lie too far apart to be of one clock."""


class MalformedBatchError(GrebedykeError):
    """A line of the simulator's wire is not a batch of events."""


class MalformedMessageError(GrebedykeError):
    """An HTTP message that an emulator or a tool received cannot be parsed."""


class HttpProtocolError(GrebedykeError):
    """What a peer has sent is not an HTTP/1.1 message that this node accepts; the message says what is wrong.

    Attributes:
        status: Status code of the response that the peer gets before its connection ends.
    """

    def __init__(self, status, problem):
        """Keeps the `status` to answer with; `problem` is one line for the peer and the log."""
        super().__init__(problem)
        self.status = status
