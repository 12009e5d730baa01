"""A client that sends small or malformed messages as fast as it can; a program of its own.

Usage: python flooding_client.py HOST PORT KIND SECONDS CONNECTIONS [SEED]

It prints the number of messages that it sent. It stops by itself, at the latest after `SECONDS` and the time
that a connect or an answer may take.
"""

import itertools
import selectors
import socket
import struct
import sys
import time

CONNECT_TIMEOUT_S = 3.0
RECEIVE_BYTES = 1 << 16
PIPELINED_MESSAGES = 20
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

MALFORMED = b"POST /op/k HTTP/1.1\r\nHost: n\r\n\r\n"
LONG_NAME_BYTES = 1_500


def request(number, timeout_ms, name=b"k"):
    """Returns a well-formed request."""
    return (
        b"POST /op/%s HTTP/1.1\r\nHost: n\r\nX-Request-ID: flood-%d\r\nX-Timeout-Ms: %d\r\n"
        b"X-Tenant-Id: t%d\r\nIdempotency-Key: k%d\r\nContent-Length: 0\r\n\r\n"
        % (name, number, timeout_ms, number, number)
    )


def unknown_call_back(number):
    """Returns a call-back about a job that nobody has."""
    body = b'{"id":"never-%d","from":"s-%d","state":"started"}' % (number, number)
    return b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def long_name(number):
    """Returns the last part of a path, another one for each number."""
    return b"%d-" % number + b"n" * LONG_NAME_BYTES


# The message of each kind, by its number.
MESSAGES = {
    "malformed": lambda number: MALFORMED,
    "not-http": lambda number: b"%d\r\n\r\n" % number,
    "unknown-path": lambda number: b"GET /unknown-%d HTTP/1.1\r\n\r\n" % number,
    "health": lambda number: b"GET /up HTTP/1.1\r\n\r\n",
    "call-back": unknown_call_back,
    "short-timeout": lambda number: request(number, 1),
    "new-names": lambda number: request(number, 4_000, long_name(number)),
    "silent": lambda number: b"",
}


class Mode:
    """How a connection ends: by the node after an answer, or by the client.

    Attributes:
        KEPT: One message after the other on the same connection, each after the last one's answer.
        ANSWERED: Several messages in one write; a new connection once the node has closed this one.
        ONE_ANSWER: One message; a new connection after its answer.
        CLOSED: One message and a close right behind it.
        RESET: One message and a reset right behind it.
    """

    KEPT = "kept"
    ANSWERED = "answered"
    ONE_ANSWER = "one-answer"
    CLOSED = "closed"
    RESET = "reset"


class FloodingConnection:
    """One connection at a time, opened anew whenever it ends.

    Attributes:
        flood: The `Flood`.
        socket: The socket, None while there is none.
    """

    def __init__(self, flood):
        self.flood = flood
        self.socket = None

    def step(self):
        """Connects and sends, or handles what has arrived."""
        try:
            if self.socket is None:
                self._open()
            else:
                self._receive()
        except OSError:
            self._close()

    def _open(self):
        flood = self.flood
        self.socket = socket.create_connection(flood.address, CONNECT_TIMEOUT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        flood.connects += 1
        self._send()
        if flood.mode == Mode.RESET:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if flood.mode in (Mode.CLOSED, Mode.RESET):
            self._close()
            return
        flood.selector.register(self.socket, selectors.EVENT_READ, self)

    def _send(self):
        copies = PIPELINED_MESSAGES if self.flood.mode == Mode.ANSWERED else 1
        self.socket.sendall(b"".join(self.flood.next_message() for _ in range(copies)))

    def _receive(self):
        data = self.socket.recv(RECEIVE_BYTES)
        if not data or self.flood.mode == Mode.ONE_ANSWER:
            self._close()
        elif self.flood.mode == Mode.KEPT:
            self._send()

    def _close(self):
        if self.socket:
            if self.flood.mode not in (Mode.CLOSED, Mode.RESET):
                try:
                    self.flood.selector.unregister(self.socket)
                except KeyError:
                    pass
            self.socket.close()
            self.socket = None


class Flood:
    """Connections that flood one address.

    Attributes:
        address: Host and port.
        mode: The `Mode`.
        selector: Tells which connections have received something.
        sent: Number of messages sent.
        connects: Number of connections opened.
    """

    def __init__(self, address, kind, mode, first_number):
        self.address = address
        self.mode = mode
        self.selector = selectors.DefaultSelector()
        self.sent = 0
        self.connects = 0
        self._message = MESSAGES[kind]
        self._numbers = itertools.count(first_number)

    def next_message(self):
        """Returns the next message."""
        self.sent += 1
        return self._message(next(self._numbers))

    def run(self, seconds, connection_count):
        """Floods for some seconds, with so many connections at a time."""
        end = time.monotonic() + seconds
        connections = [FloodingConnection(self) for _ in range(connection_count)]
        while time.monotonic() < end:
            for connection in connections:
                if connection.socket is None and time.monotonic() < end:
                    connection.step()
            is_waiting = all(connection.socket for connection in connections)
            for key, _ in self.selector.select(0.05 if is_waiting else 0):
                key.data.step()


def main(host, port, kind, mode, seconds, connection_count, first_number="0"):
    """Floods and prints how much was sent."""
    flood = Flood((host, int(port)), kind, mode, int(first_number))
    flood.run(float(seconds), int(connection_count))
    print(flood.sent, flood.connects)


if __name__ == "__main__":
    main(*sys.argv[1:])
