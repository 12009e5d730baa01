"""HTTP/1.1 messages: types returned by the parser, and heads of the messages that this node sends."""

from typing import NamedTuple

REASON_PHRASES = {
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
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpRequest(NamedTuple):
    """A complete request.

    Attributes:
        method: As received, such as `b"POST"`.
        target: Path and query as received.
        headers: Values by lower-case name; values of a repeated header are joined by commas.
        body: The body without its framing.
    """

    method: bytes
    target: bytes
    headers: dict
    body: bytes


class HttpResponse(NamedTuple):
    """A complete response; interim responses (1xx) are skipped.

    Attributes:
        status: Status code.
        headers: Values by lower-case name; values of a repeated header are joined by commas.
        body: The body without its framing.
    """

    status: int
    headers: dict
    body: bytes


def decode_text(raw):
    """Decodes a name in a path or header as UTF-8, or as Latin-1 if it is not valid UTF-8.

    >>> decode_text("Mátra".encode()), decode_text("Mátra".encode("latin-1")) == "Mátra", decode_text(b"op")
    ('Mátra', True, 'op')
    """
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return raw.decode("latin-1")


def request_head(method, target, host, headers=(), content_length=None):
    """Builds the head of a request.

    Args:
        method: Method as bytes.
        target: Path and query as bytes.
        host: Value of the Host header as bytes.
        headers: Pairs of name and value as bytes.
        content_length: Length of the body in bytes; None for a request without a body.
    """
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, host)]
    lines += [b"%s: %s\r\n" % header for header in headers]
    if content_length is not None:
        lines.append(b"Content-Length: %d\r\n" % content_length)
    return b"".join(lines) + b"\r\n"


def response_head(status, content_length, keep_alive, headers=""):
    r"""Builds the head of a response.

    >>> response_head(204, 0, True)
    b'HTTP/1.1 204 No Content\r\n\r\n'
    >>> response_head(503, 2, False, "Retry-After: 0.5\r\n").split(b"\r\n")[1:4]
    [b'Retry-After: 0.5', b'Content-Length: 2', b'Connection: close']

    Args:
        status: One of the codes in `REASON_PHRASES`.
        content_length: Length of the body in bytes.
        keep_alive: Whether the connection stays open; otherwise `Connection: close` is added.
        headers: Additional header lines as text, each with its CRLF.
    """
    length = "" if status == 204 else f"Content-Length: {content_length}\r\n"
    close = "" if keep_alive else "Connection: close\r\n"
    return f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n{headers}{length}{close}\r\n".encode()
