"""A TCP proxy with faults: it can withhold data, delay it, or reset connections."""

import asyncio
from collections import Counter
from enum import StrEnum

from grebedyke.emulators import http_messages

# Maximum number of bytes per read.
READ_SIZE = 65_536
# Interval in seconds at which a silent proxy checks its fault again, and delay of a slow proxy in seconds.
SILENT_POLL_INTERVAL = 0.05
SLOW_DELAY = 0.3


class ProxyFault(StrEnum):
    """Faults of a proxy.

    Attributes:
        SILENT: The proxy accepts connections but forwards nothing.
        RESET: The proxy resets each connection.
        SLOW: The proxy delays the data that it forwards.
    """

    SILENT = "silent"
    RESET = "reset"
    SLOW = "slow"


class TcpProxy(http_messages.LoopbackServer):
    """Forwards connections to an address; a change of the fault also affects open connections.

    Attributes:
        target: Returns the (host, port) of the target.
        fault: The current `ProxyFault`; None for none.
        event_counts: How often each fault took effect.
    """

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.fault = None
        self.event_counts = Counter()
        self._open_writers = set()

    def set_fault(self, fault):
        """Sets the `ProxyFault`; None for no fault."""
        self.fault = fault
        if fault is ProxyFault.RESET:
            for writer in list(self._open_writers):
                self.event_counts[fault] += 1
                writer.transport.abort()

    async def serve(self, reader, writer):
        """Forwards the data of one connection in both directions."""
        if self.fault is ProxyFault.RESET:
            self.event_counts[ProxyFault.RESET] += 1
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target())
        except OSError:
            # Without a proxy the client's connection would fail, too.
            writer.transport.abort()
            return
        self._open_writers |= {writer, target_writer}
        directions = [
            asyncio.ensure_future(self._forward(reader, target_writer)),
            asyncio.ensure_future(self._forward(target_reader, writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._open_writers -= {writer, target_writer}
            for direction in directions:
                direction.cancel()
            target_writer.close()

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(READ_SIZE):
                while self.fault is ProxyFault.SILENT:
                    self.event_counts[ProxyFault.SILENT] += 1
                    await asyncio.sleep(SILENT_POLL_INTERVAL)
                if self.fault is ProxyFault.SLOW:
                    self.event_counts[ProxyFault.SLOW] += 1
                    await asyncio.sleep(SLOW_DELAY)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # one side was reset; `serve` ends both
