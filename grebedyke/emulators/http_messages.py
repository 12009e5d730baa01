"""The subset of HTTP/1.1 used by the tools and emulators, over asyncio streams."""

import asyncio
import ipaddress
from typing import NamedTuple

from grebedyke.emulators.ports import free_port
from grebedyke.errors import MalformedMessageError

MAX_BODY_SIZE = 65_536
MAX_HEADERS = 100
PORT_LIMIT = 65_536

NO_RESPONSE = 0
"""Replaces the status if there was no response."""


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        start_line: The words of the first line.
        headers: Values by lower-case name.
        body: The message body.
    """

    start_line: list[str]
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """The result of a call.

    Attributes:
        status: The status of the response, or `NO_RESPONSE`.
        body: The body of the response.
    """

    status: int
    body: bytes


def parse_loopback_host(host):
    """Returns the loopback address of a host; the tools must not send load to other machines.

    Raises:
        ValueError: The host is not a loopback address.

    >>> parse_loopback_host("127.0.0.9")
    '127.0.0.9'
    >>> parse_loopback_host("10.0.0.1")
    Traceback (most recent call last):
    ValueError: 10.0.0.1 is not a loopback address
    """
    address = "127.0.0.1" if host == "localhost" else host
    try:
        is_loopback = ipaddress.ip_address(address).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise ValueError(f"{host} is not a loopback address")
    return address


def parse_address(text):
    """Returns (host, port) of a loopback address.

    Raises:
        ValueError: The text is not host:port, or the host is not a loopback address.

    >>> parse_address("localhost:9000")
    ('127.0.0.1', 9000)
    """
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not 0 <= int(port) < PORT_LIMIT:
        raise ValueError(f"{text} is not host:port")
    return parse_loopback_host(host), int(port)


def format_message(start_line, body=b"", headers=None):
    r"""Returns the bytes of a request or a response.

    >>> format_message("HTTP/1.1 202 Accepted", headers={"X-Server-Load": "x0=1"})
    b'HTTP/1.1 202 Accepted\r\nX-Server-Load: x0=1\r\nContent-Length: 0\r\n\r\n'
    """
    lines = [start_line]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def read_message(reader):
    """Reads a `Message`; returns None if the peer has closed the connection between messages.

    Raises:
        MalformedMessageError: The received data is not a valid message.
        asyncio.IncompleteReadError: The connection was closed within the body.
    """
    line = await _read_line(reader)
    if not line:
        return None
    start_line = line.decode("latin-1").split()
    if len(start_line) < 2:
        raise MalformedMessageError(f"invalid first line {line!r}")
    headers = await _read_headers(reader)
    length = headers.get("content-length", "0")
    if not length.isdigit() or int(length) > MAX_BODY_SIZE:
        raise MalformedMessageError(f"invalid Content-Length {length!r}")
    body = await reader.readexactly(int(length)) if int(length) else b""
    return Message(start_line, headers, body)


async def _read_headers(reader):
    headers = {}
    for _ in range(MAX_HEADERS):
        line = (await _read_line(reader)).decode("latin-1").rstrip("\r\n")
        if not line:
            break
        name, colon, value = line.partition(":")
        if not colon:
            raise MalformedMessageError(f"invalid header line {line!r}")
        headers[name.strip().lower()] = value.strip()
    return headers


async def _read_line(reader):
    """Reads a line; empty at the end of the stream. A truncated line is an error."""
    line = await reader.readline()
    if line and not line.endswith(b"\n"):
        raise MalformedMessageError(f"line truncated after {line!r}")
    return line


async def call(address, method, target, body=b"", timeout=2.0, headers=None):
    """Sends a request on a new connection and returns its `Response`.

    Args:
        address: Host and port.
        method: The HTTP method.
        target: The path, with an optional query.
        body: The request body.
        timeout: Timeout in seconds for the whole call.
        headers: Additional headers by name.
    """
    all_headers = {"Host": "%s:%d" % address, "Connection": "close", **(headers or {})}
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(format_message(f"{method} {target} HTTP/1.1", body, all_headers))
            message = await read_message(reader)
        if message is None:
            return Response(NO_RESPONSE, b"")
        return Response(int(message.start_line[1]), message.body)
    except (OSError, TimeoutError, MalformedMessageError, ValueError, EOFError):
        return Response(NO_RESPONSE, b"")
    finally:
        if writer:
            writer.close()


class LoopbackServer:
    """A server on one loopback address; a subclass handles each connection in `serve`.

    Attributes:
        address: Host and port, None before `listen`.
        server: The asyncio server, None while not listening.
        tasks: The tasks that serve open connections.
    """

    def __init__(self):
        self.server = None
        self.address = None
        self.tasks = set()

    async def listen(self, host="127.0.0.1", port=0):
        """Starts to accept connections, on a free port if `port` is 0; returns this server."""
        host = parse_loopback_host(host)
        self.server = await asyncio.start_server(self._connected, host, port or free_port(host))
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        """Serves a connection, which is closed when this returns."""
        raise NotImplementedError

    async def _connected(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, MalformedMessageError, EOFError, asyncio.LimitOverrunError):
            pass  # A peer that disconnects or sends invalid data ends only its own connection.
        except asyncio.CancelledError:
            pass  # `close` cancels the tasks to end the connections.
        finally:
            self.tasks.discard(task)
            writer.close()

    async def close(self):
        """Stops abruptly, like a killed process: open requests are dropped, new connections refused."""
        if self.server:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)
