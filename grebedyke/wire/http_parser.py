"""Incremental HTTP/1.1 parser without I/O; reads messages from a ring buffer."""

from enum import Enum, IntEnum, auto

from grebedyke.errors import HttpProtocolError
from grebedyke.wire.http_messages import HttpRequest, HttpResponse

TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")
HEX_DIGITS = b"0123456789abcdefABCDEF"
FORBIDDEN_IN_VALUES = b"\0\r\n"
VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
# Framing and host headers: a repeated one would be ambiguous.
UNIQUE_HEADERS = (b"content-length", b"transfer-encoding", b"host")
DEFAULT_MAX_BODY_BYTES = 65_536
MAX_CHUNK_LINE_BYTES = 1_024
MAX_CHUNK_SIZE_DIGITS = 8
MAX_LENGTH_DIGITS = 18
MAX_TRAILER_LINES = 64
MAX_HEADER_LINES = 100
# Memory of a header besides its bytes.
BYTES_PER_HEADER = 150


class ParserState(IntEnum):
    """The part of a message that the parser reads next."""

    HEAD = 0
    SIZED_BODY = 1
    BODY_UNTIL_CLOSE = 2
    CHUNK_SIZE = 3
    CHUNK_DATA = 4
    TRAILER = 5


class StepResult(Enum):
    """Result of one parser step."""

    CONTINUE = auto()
    NEED_DATA = auto()
    MESSAGE_COMPLETE = auto()


class HttpParser:
    """Parses requests or responses from a ring buffer, one at a time.

    Attributes:
        ring: Received bytes that are not parsed yet.
        reads_responses: Whether the peer sends responses rather than requests.
        max_body_bytes: Maximum size of an accepted body.
        unique_headers: Lower-case names of headers that may occur only once.
        max_parts: Maximum number of parts (empty lines, interim responses, chunks) of a message; None for no
            limit.
        state: The part of the message that is read next.
        keep_alive: Whether the last message allows a further one on the connection.
        expects_continue: Whether the peer waits for a 100 response before it sends the body.
        headers: Headers of the current message.
        body: Bytes of the current body received so far, without framing.
        steps_taken: Number of steps of the last call of `next_message`.
    """

    __slots__ = (
        "ring",
        "reads_responses",
        "max_body_bytes",
        "unique_headers",
        "max_parts",
        "state",
        "keep_alive",
        "expects_continue",
        "headers",
        "body",
        "steps_taken",
        "_method",
        "_target",
        "_status",
        "_remaining_bytes",
        "_trailer_lines",
        "_head_bytes",
        "_parts",
    )

    def __init__(
        self,
        ring,
        reads_responses=False,
        max_body_bytes=DEFAULT_MAX_BODY_BYTES,
        unique_headers=(),
        max_parts=None,
    ):
        self.ring = ring
        self.reads_responses = reads_responses
        self.max_body_bytes = max_body_bytes
        self.unique_headers = frozenset((*UNIQUE_HEADERS, *unique_headers))
        self.max_parts = max_parts
        self.state = ParserState.HEAD
        self.keep_alive = True
        self.expects_continue = False
        self.headers = {}
        self.body = b""
        self.steps_taken = 0
        self._method = b""
        self._target = b""
        self._status = 0
        self._remaining_bytes = 0
        self._trailer_lines = 0
        self._head_bytes = 0
        self._parts = 0

    def partial_message_bytes(self):
        """Returns the memory of a message whose body is incomplete, besides the ring buffer."""
        return 0 if self.state is ParserState.HEAD else self._head_bytes + len(self.body)

    def has_partial_message(self):
        """Returns whether a message has started and is incomplete."""
        return self.ring.used > 0 or self.state is not ParserState.HEAD

    def next_message(self, max_steps=None):
        """Returns the next `HttpRequest` or `HttpResponse`, None while it is incomplete.

        Args:
            max_steps: Number of steps after which it also returns None; the next call continues there.

        Raises:
            HttpProtocolError: The received bytes are not a valid message, or exceed a limit.
        """
        self.steps_taken = 0
        result = StepResult.CONTINUE
        while result is StepResult.CONTINUE and self.steps_taken != max_steps:
            self.steps_taken += 1
            result = STATE_HANDLERS[self.state](self)
            if result is StepResult.CONTINUE:
                self._count_part()
        return self._take_message() if result is StepResult.MESSAGE_COMPLETE else None

    def _count_part(self):
        self._parts += 1
        if self.max_parts is not None and self._parts > self.max_parts:
            raise HttpProtocolError(400, "too many parts in a message")

    def end_of_stream(self):
        """Returns the response that EOF completes, None if there is none.

        EOF completes only a response without a declared length; any other message is truncated.
        """
        return self._take_message() if self.state is ParserState.BODY_UNTIL_CLOSE else None

    def discard_message(self):
        """Frees an incomplete message; its connection must not be read further."""
        self.state = ParserState.HEAD
        self.expects_continue = False
        self.headers = {}
        self.body = b""
        self._parts = 0

    def _take_message(self):
        body = bytes(self.body)
        headers = self.headers
        self.discard_message()
        if self.reads_responses:
            return HttpResponse(self._status, headers, body)
        return HttpRequest(self._method, self._target, headers, body)

    # Head.

    def _read_head(self):
        data = self.ring.peek()
        if data[:2] == b"\r\n":  # empty lines between messages
            self.ring.skip(2)
            return StepResult.CONTINUE
        end = data.find(b"\r\n\r\n")
        if end < 0:
            if len(data) == self.ring.capacity:
                raise HttpProtocolError(431, "the head does not fit")
            return StepResult.NEED_DATA
        self.ring.skip(end + 4)
        start_line, *header_lines = data[:end].split(b"\r\n")
        if len(header_lines) > MAX_HEADER_LINES:
            # Each would take far more memory than its bytes.
            raise HttpProtocolError(431, "too many header lines")
        self._head_bytes = end + BYTES_PER_HEADER * len(header_lines)
        version = (
            self._parse_status_line(start_line)
            if self.reads_responses
            else self._parse_request_line(start_line)
        )
        for line in header_lines:
            self._add_header(line)
        options = [option.strip() for option in self.headers.get(b"connection", b"").lower().split(b",")]
        self.keep_alive = b"close" not in options and (version == b"HTTP/1.1" or b"keep-alive" in options)
        return self._choose_framing()

    def _parse_request_line(self, line):
        parts = line.split(b" ", 2)
        version = parts[-1]
        if len(parts) < 3 or version not in VERSIONS:
            raise HttpProtocolError(505 if version.startswith(b"HTTP/") else 400, "malformed first line")
        method, target, _ = parts
        if not TOKEN_BYTES.issuperset(method) or not method or not target or b" " in target:
            raise HttpProtocolError(400, "malformed first line")
        self._method = method
        self._target = target
        return version

    def _parse_status_line(self, line):
        parts = line.split(b" ", 2)
        version = parts[0]
        if len(parts) < 2 or version not in VERSIONS:
            raise HttpProtocolError(505 if version.startswith(b"HTTP/") else 400, "malformed first line")
        status = parts[1]
        if len(status) != 3 or not status.isdigit():
            raise HttpProtocolError(400, "status code is not three digits")
        self._status = int(status)
        return version

    def _add_header(self, line):
        name, colon, value = line.partition(b":")
        if (
            not colon
            or not name
            or not TOKEN_BYTES.issuperset(name)
            or any(byte in value for byte in FORBIDDEN_IN_VALUES)
        ):
            raise HttpProtocolError(400, "malformed header line")
        name = name.lower()
        value = value.strip(b" \t")
        if name in self.headers:
            if name in self.unique_headers:
                raise HttpProtocolError(400, f"header {name.decode()} is repeated")
            value = self.headers[name] + b", " + value
        self.headers[name] = value

    def _choose_framing(self):
        if self.reads_responses and 100 <= self._status < 200:
            self.headers = {}  # interim response; the final response follows
            return StepResult.CONTINUE
        if self.reads_responses and self._status in (204, 304):
            return StepResult.MESSAGE_COMPLETE
        length = self.headers.get(b"content-length")
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                raise HttpProtocolError(400, "framing is not plain")
            self.state = ParserState.CHUNK_SIZE
        elif length is not None:
            self._remaining_bytes = self._body_length(length)
            if not self._remaining_bytes:
                return StepResult.MESSAGE_COMPLETE
            self.state = ParserState.SIZED_BODY
        elif self.reads_responses:
            self.state = ParserState.BODY_UNTIL_CLOSE
            self.keep_alive = False
        else:
            return StepResult.MESSAGE_COMPLETE
        self.body = bytearray()
        expectation = self.headers.get(b"expect", b"").lower()
        self.expects_continue = expectation == b"100-continue" and not self.ring.used
        return StepResult.CONTINUE

    def _body_length(self, value):
        if not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:
            raise HttpProtocolError(400, "malformed length")
        length = int(value)
        self._check_body_size(length)
        return length

    def _check_body_size(self, size):
        if size > self.max_body_bytes:
            raise HttpProtocolError(413, "the body is too large")

    # Body.

    def _read_sized_body(self):
        self._move_to_body()
        return StepResult.NEED_DATA if self._remaining_bytes else StepResult.MESSAGE_COMPLETE

    def _read_body_until_close(self):
        self.body += self.ring.take(self.ring.used)
        self._check_body_size(len(self.body))
        return StepResult.NEED_DATA

    def _read_chunk_size(self):
        line = self._read_line()
        if line is None:
            return StepResult.NEED_DATA
        digits = line.split(b";", 1)[0].strip(b" \t")
        if (
            not digits
            or len(digits) > MAX_CHUNK_SIZE_DIGITS
            or not all(digit in HEX_DIGITS for digit in digits)
        ):
            raise HttpProtocolError(400, "malformed chunk size")
        self._remaining_bytes = int(digits, 16)
        self._check_body_size(len(self.body) + self._remaining_bytes)
        if self._remaining_bytes:
            self.state = ParserState.CHUNK_DATA
        else:
            self.state = ParserState.TRAILER
            self._trailer_lines = 0
        return StepResult.CONTINUE

    def _read_chunk_data(self):
        if self._remaining_bytes:
            self._move_to_body()
        if self._remaining_bytes or self.ring.used < 2:
            return StepResult.NEED_DATA
        if self.ring.take(2) != b"\r\n":
            raise HttpProtocolError(400, "a chunk does not end where it should")
        self.state = ParserState.CHUNK_SIZE
        return StepResult.CONTINUE

    def _read_trailer(self):
        line = self._read_line()
        if line is None:
            return StepResult.NEED_DATA
        self._trailer_lines += 1
        if self._trailer_lines > MAX_TRAILER_LINES:
            raise HttpProtocolError(431, "too many trailer lines")
        return StepResult.CONTINUE if line else StepResult.MESSAGE_COMPLETE

    def _move_to_body(self):
        part = self.ring.take(self._remaining_bytes)
        self.body += part
        self._remaining_bytes -= len(part)

    def _read_line(self):
        """Returns the next line without its CRLF, None while it is incomplete."""
        data = self.ring.peek()
        end = data.find(b"\r\n")
        if end < 0:
            if len(data) >= MAX_CHUNK_LINE_BYTES:
                raise HttpProtocolError(400, "overlong line in a chunked body")
            return None
        self.ring.skip(end + 2)
        return data[:end]


# Parser step by state; each step sets the next state.
STATE_HANDLERS = {
    ParserState.HEAD: HttpParser._read_head,
    ParserState.SIZED_BODY: HttpParser._read_sized_body,
    ParserState.BODY_UNTIL_CLOSE: HttpParser._read_body_until_close,
    ParserState.CHUNK_SIZE: HttpParser._read_chunk_size,
    ParserState.CHUNK_DATA: HttpParser._read_chunk_data,
    ParserState.TRAILER: HttpParser._read_trailer,
}
