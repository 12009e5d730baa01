"""HTTP/1.1 over asyncio's streams, as plainly as a peer may speak it."""

import asyncio
import ipaddress

from grebedyke.errors import MalformedMessageError

LARGEST, MOST_LINES = 65_536, 100


def loopback(host):
    """The stand-ins and the load tool are for this machine alone.

    >>> loopback("127.0.0.9")
    '127.0.0.9'
    >>> loopback("10.0.0.1")
    Traceback (most recent call last):
    ValueError: 10.0.0.1 is not a loopback address
    """
    name = "127.0.0.1" if host == "localhost" else host
    try:
        local = ipaddress.ip_address(name).is_loopback
    except ValueError:
        local = False
    if not local:
        raise ValueError(f"{host} is not a loopback address")
    return name


def place(text):
    """
    >>> place("localhost:9000")
    ('127.0.0.1', 9000)
    """
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not 0 <= int(port) < 65_536:
        raise ValueError(f"{text} is not host:port")
    return loopback(host), int(port)


async def whole(reader):
    """A line, nothing at an end between lines; a line that is cut off is no line."""
    line = await reader.readline()
    if line and not line.endswith(b"\n"):
        raise MalformedMessageError(f"cut off after {line!r}")
    return line


async def read(reader):
    """(first line's words, headers in lower case, body), or None where the peer has ended between
    messages.
    """
    line = await whole(reader)
    if not line:
        return None
    words, headers = line.decode("latin-1").split(), {}
    if len(words) < 2:
        raise MalformedMessageError(f"first line {line!r}")
    for _ in range(MOST_LINES):
        row = (await whole(reader)).decode("latin-1").rstrip("\r\n")
        if not row:
            break
        name, colon, value = row.partition(":")
        if not colon:
            raise MalformedMessageError(f"header line {row!r}")
        headers[name.strip().lower()] = value.strip()
    length = headers.get("content-length", "0")
    if not length.isdigit() or int(length) > LARGEST:
        raise MalformedMessageError(f"length {length!r}")
    body = await reader.readexactly(int(length)) if int(length) else b""
    return words, headers, body


def message(first, body=b"", **headers):
    """
    >>> message("HTTP/1.1 202 Accepted")
    b'HTTP/1.1 202 Accepted\\r\\nContent-Length: 0\\r\\n\\r\\n'
    """
    rows = [f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items()]
    return f"{first}\r\n{''.join(rows)}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


async def call(address, first, body=b"", wait=2.0, **headers):
    """One message on a connection of its own; its status, 0 where there was none."""
    writer = None
    try:
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(first, body, Host="%s:%d" % address, Connection="close", **headers))
            answer = await read(reader)
        return (int(answer[0][1]), answer[2]) if answer else (0, b"")
    except (OSError, TimeoutError, MalformedMessageError, ValueError, EOFError):
        return 0, b""
    finally:
        if writer:
            writer.close()


class Server:
    """Listens on one loopback address; `serve(reader, writer)` is a subclass's, connections end with it."""

    def __init__(self):
        self.server, self.address, self.tasks = None, None, set()

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.connected, loopback(host), port)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def connected(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, MalformedMessageError, EOFError, asyncio.LimitOverrunError):
            pass  # a peer that leaves or speaks oddly ends its own connection only
        except asyncio.CancelledError:
            pass  # this server has ended
        finally:
            self.tasks.discard(task)
            writer.close()

    async def close(self):
        """As a process dies: nobody is served on, new connections are refused."""
        if self.server:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)
