"""HTTP/1.1 without I/O: reads messages out of a ring, however they were split, and words heads."""

TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")
REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Bad(Exception):
    """The peer does not speak HTTP; `status` is what it is told before the connection ends."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class Parser:
    """Takes whole messages out of a ring; next() gives None until one is whole.

    A request is (method, target, headers, body), an answer (status, headers, body); header names come in
    lower case. `keep` tells of the last message whether the connection may carry another. `waits`: the
    peer wants a 100 before it sends the body.
    """

    __slots__ = (
        "ring",
        "answers",
        "largest",
        "once",
        "first",
        "headers",
        "body",
        "want",
        "state",
        "keep",
        "waits",
        "lines",
    )

    def __init__(self, ring, answers=False, largest=65_536, once=()):
        self.ring, self.answers, self.largest = ring, answers, largest
        self.once = frozenset((b"content-length", b"transfer-encoding", b"host", *once))
        self.state, self.keep, self.waits, self.headers, self.body = self.head, True, False, {}, b""

    def begun(self):
        """Whether a message is only partly here."""
        return self.ring.used > 0 or self.state != self.head

    def next(self):
        while (more := self.state()) is None:
            pass
        return self.whole() if more else None

    def whole(self):
        body, headers = bytes(self.body), self.headers
        self.state, self.waits, self.headers, self.body = self.head, False, {}, b""
        return (*self.first, headers, body)

    def ended(self):
        """The peer sends no more: an answer without a length is whole by that; anything else is cut off."""
        return self.whole() if self.state == self.rest else None

    # The states. Each gives None to go on, True when a message is whole, False when bytes are lacking.

    def line(self):
        data = self.ring.peek()
        end = data.find(b"\r\n")
        if end < 0:
            if len(data) >= 1024:
                raise Bad(400, "overlong line in a chunked body")
            return None
        self.ring.skip(end + 2)
        return data[:end]

    def head(self):
        data = self.ring.peek()
        if data[:2] == b"\r\n":  # stray line ends between messages
            self.ring.skip(2)
            return None
        end = data.find(b"\r\n\r\n")
        if end < 0:
            if len(data) == self.ring.size:
                raise Bad(431, "the head does not fit")
            return False
        self.ring.skip(end + 4)
        lines = data[:end].split(b"\r\n")
        version = self.start(lines[0])
        for line in lines[1:]:
            name, colon, value = line.partition(b":")
            if not colon or not name or not TOKEN.issuperset(name) or any(c in value for c in b"\0\r\n"):
                raise Bad(400, "malformed header line")
            name, value = name.lower(), value.strip(b" \t")
            if name in self.headers:
                if name in self.once:
                    raise Bad(400, f"header {name.decode()} is repeated")
                value = self.headers[name] + b", " + value
            self.headers[name] = value
        tokens = [t.strip() for t in self.headers.get(b"connection", b"").lower().split(b",")]
        self.keep = b"close" not in tokens and (version == b"HTTP/1.1" or b"keep-alive" in tokens)
        return self.framing()

    def start(self, line):
        parts = line.split(b" ", 2)
        version = parts[0] if self.answers else parts[-1]
        if len(parts) < (2 if self.answers else 3) or version not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise Bad(505 if version.startswith(b"HTTP/") else 400, "malformed first line")
        if self.answers:
            if len(parts[1]) != 3 or not parts[1].isdigit():
                raise Bad(400, "malformed status")
            self.first = (int(parts[1]),)
        else:
            if not TOKEN.issuperset(parts[0]) or not parts[0] or not parts[1] or b" " in parts[1]:
                raise Bad(400, "malformed first line")
            self.first = (parts[0], parts[1])
        return version

    def framing(self):
        length, coding = self.headers.get(b"content-length"), self.headers.get(b"transfer-encoding")
        status = self.first[0] if self.answers else 0
        if 100 <= status < 200:
            self.headers = {}  # an interim answer; the one that counts follows
            return None
        if status in (204, 304):
            return True
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                raise Bad(400, "framing is not plain")
            self.body, self.state = bytearray(), self.chunk
        elif length is not None:
            if not length.isdigit() or len(length) > 18:
                raise Bad(400, "malformed length")
            self.want = int(length)
            if self.want > self.largest:
                raise Bad(413, "the body is too large")
            if not self.want:
                return True
            self.body, self.state = bytearray(), self.sized
        elif self.answers:
            self.body, self.state, self.keep = bytearray(), self.rest, False
        else:
            return True
        self.waits = self.headers.get(b"expect", b"").lower() == b"100-continue" and not self.ring.used
        return None

    def sized(self):
        part = self.ring.take(self.want)
        self.body += part
        self.want -= len(part)
        return self.want == 0

    def rest(self):
        self.body += self.ring.take(self.ring.used)
        if len(self.body) > self.largest:
            raise Bad(413, "the body is too large")
        return False

    def chunk(self):
        line = self.line()
        if line is None:
            return False
        digits = line.split(b";", 1)[0].strip(b" \t")
        if not digits or len(digits) > 8 or not all(c in b"0123456789abcdefABCDEF" for c in digits):
            raise Bad(400, "malformed chunk size")
        self.want = int(digits, 16)
        if len(self.body) + self.want > self.largest:
            raise Bad(413, "the body is too large")
        self.state, self.lines = (self.piece, 0) if self.want else (self.trailer, 0)
        return None

    def piece(self):
        if self.want:
            part = self.ring.take(self.want)
            self.body += part
            self.want -= len(part)
            if self.want:
                return False
        if self.ring.used < 2:
            return False
        if self.ring.take(2) != b"\r\n":
            raise Bad(400, "a chunk does not end where it should")
        self.state = self.chunk
        return None

    def trailer(self):
        line = self.line()
        if line is None:
            return False
        self.lines += 1
        if self.lines > 64:
            raise Bad(431, "too many trailer lines")
        return True if not line else None


def text(said):
    """Bytes of a path or header that stand for a name of the settings.

    >>> text("Mátra".encode()), text("Mátra".encode("latin-1")) == "Mátra", text(b"op")
    ('Mátra', True, 'op')
    """
    try:
        return said.decode()
    except UnicodeDecodeError:
        return said.decode("latin-1")


def request(method, target, host, headers=(), length=None):
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, host)]
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    if length is not None:
        lines.append(b"Content-Length: %d\r\n" % length)
    return b"".join(lines) + b"\r\n"


def answer(status, length, keep, headers=""):
    """
    >>> answer(204, 0, True)
    b'HTTP/1.1 204 No Content\\r\\n\\r\\n'
    >>> answer(503, 2, False, "Retry-After: 0.5\\r\\n").split(b"\\r\\n")[1:4]
    [b'Retry-After: 0.5', b'Content-Length: 2', b'Connection: close']
    """
    size = "" if status == 204 else f"Content-Length: {length}\r\n"
    close = "" if keep else "Connection: close\r\n"
    return f"HTTP/1.1 {status} {REASONS[status]}\r\n{headers}{size}{close}\r\n".encode()
