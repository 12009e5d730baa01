"""Ports for servers that are told their address before they listen, and get it back when they start anew."""

import fcntl
import os
import random
import socket
import tempfile
from functools import cache
from pathlib import Path

EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_RANGE = (32_768, 60_999)
# Lower ports are those of other programs.
FIRST_PORT = 10_240
PORTS_PER_BLOCK = 64
# A process that has drawn so many blocks begins anew with the ports of its first.
MAX_BLOCKS = 8


class PortPool:
    """Draws ports of which this process may dispose until it ends, though nobody listens on them yet.

    They lie outside the range from which the kernel takes ports for outgoing connections, so that none of
    these is given one while its server has yet to start, or starts anew. Each process has blocks of its own,
    by locks that end with it.
    """

    def __init__(self):
        self._locks = []
        self._ports = []
        self._drawn_count = 0

    def draw(self, host):
        """Returns a port that is free at an address.

        Raises:
            OSError: None is.
        """
        for _ in range(MAX_BLOCKS * PORTS_PER_BLOCK):
            port = self._next_port()
            if _is_free(host, port):
                return port
        raise OSError(f"no port is free at {host}")

    def _next_port(self):
        if self._drawn_count == len(self._ports) and len(self._locks) < MAX_BLOCKS:
            self._lock_block()
        port = self._ports[self._drawn_count % len(self._ports)]
        self._drawn_count += 1
        if len(self._locks) == MAX_BLOCKS:
            self._drawn_count %= len(self._ports)
        return port

    def _lock_block(self):
        """Adds the ports of a block that no other process has."""
        folder = Path(tempfile.gettempdir(), f"grebedyke-ports-{os.getuid()}")
        folder.mkdir(exist_ok=True)
        blocks = [*range(FIRST_PORT, ephemeral_range()[0] - PORTS_PER_BLOCK + 1, PORTS_PER_BLOCK)]
        for first_port in random.sample(blocks, len(blocks)):
            lock = open(folder / str(first_port), "w")  # noqa: SIM115 - it is held until the process ends.
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._locks.append(lock)
            self._ports += range(first_port, first_port + PORTS_PER_BLOCK)
            return
        raise OSError("all blocks of ports are taken by other processes")


_pool = PortPool()


def _start_over():
    """Gives a forked process a pool of its own; its parent keeps the locks that both have inherited."""
    global _pool
    _pool = PortPool()


os.register_at_fork(after_in_child=_start_over)


def free_port(host="127.0.0.1"):
    """Returns a port that nobody else is given until this process ends; see `PortPool`."""
    return _pool.draw(host)


@cache
def ephemeral_range():
    """Returns the first and the last port that the kernel takes for outgoing connections."""
    try:
        first, last = map(int, EPHEMERAL_RANGE_FILE.read_text().split())
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL_RANGE
    return first, last


def _is_free(host, port):
    """Returns whether nobody has the port, for connections or datagrams."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(family, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
