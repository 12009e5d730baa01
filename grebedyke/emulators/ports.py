"""Ports for servers whose address is fixed before they listen and kept when they are restarted."""

import fcntl
import os
import random
import socket
import tempfile
import threading
from functools import cache
from pathlib import Path

EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_RANGE = (32_768, 60_999)
# Lower ports are left to other programs.
FIRST_PORT = 10_240
PORTS_PER_BLOCK = 64
# After this many blocks a process reuses the ports of its first block.
MAX_BLOCKS = 8


class PortPool:
    """Draws ports that are reserved for this process until it ends, even while no server listens on them.

    The ports are outside the range that the kernel uses for outgoing connections, so that no connection gets
    a port whose server has not started yet or is restarting. Each process has its own blocks of ports,
    protected by file locks that are released when it ends.
    """

    def __init__(self):
        self._mutex = threading.Lock()  # fleets in threads of one process draw at the same time
        self._locks = []
        self._ports = []
        self._drawn_count = 0

    def draw(self, host):
        """Returns a free port at an address.

        Raises:
            OSError: No port is free.
        """
        for _ in range(MAX_BLOCKS * PORTS_PER_BLOCK):
            with self._mutex:
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
        """Adds the ports of a block that is not locked by another process."""
        folder = Path(tempfile.gettempdir(), f"grebedyke-ports-{os.getuid()}")
        folder.mkdir(exist_ok=True)
        blocks = [*range(FIRST_PORT, ephemeral_range()[0] - PORTS_PER_BLOCK + 1, PORTS_PER_BLOCK)]
        for first_port in random.sample(blocks, len(blocks)):
            lock = open(folder / str(first_port), "w")  # noqa: SIM115 - the lock is held until the process ends.
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._locks.append(lock)
            self._ports += range(first_port, first_port + PORTS_PER_BLOCK)
            return
        raise OSError("all blocks of ports are locked by other processes")


_pool = PortPool()


def _reset_pool_after_fork():
    """Gives a forked process its own pool; the locks that it inherited remain those of its parent."""
    global _pool
    _pool = PortPool()


os.register_at_fork(after_in_child=_reset_pool_after_fork)


def free_port(host="127.0.0.1"):
    """Returns a port that is reserved for this process until it ends; see `PortPool`."""
    return _pool.draw(host)


@cache
def ephemeral_range():
    """Returns the first and last port of the range that the kernel uses for outgoing connections."""
    try:
        first, last = map(int, EPHEMERAL_RANGE_FILE.read_text().split())
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL_RANGE
    return first, last


def _is_free(host, port):
    """Returns whether the port is unused, for both TCP and UDP."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(family, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
