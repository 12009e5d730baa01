"""A proxy before a TCP address that may fall silent, be slow, or reset its connections."""

import asyncio
from collections import Counter
from enum import StrEnum

from grebedyke.emulators import http_messages

# Bytes that are read at once.
READ_SIZE = 65_536
# How often a silent proxy looks whether it may go on, and how late a slow one is, in seconds.
SILENT_POLL_INTERVAL = 0.05
SLOW_DELAY = 0.3


class ProxyFault(StrEnum):
    """What may be wrong with a proxy.

    Attributes:
        SILENT: It accepts connections and passes nothing on.
        RESET: It resets each connection.
        SLOW: It passes bytes on late.
    """

    SILENT = "silent"
    RESET = "reset"
    SLOW = "slow"


class TcpProxy(http_messages.LoopbackServer):
    """Passes bytes on to an address and back. Open connections feel a change at once.

    Attributes:
        target: Returns the (host, port) to which connections go.
        fault: The `ProxyFault`, None for none.
        event_counts: How often each fault has shown.
    """

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.fault = None
        self.event_counts = Counter()
        self._open_writers = set()

    def set_fault(self, fault):
        """Changes what is wrong: a `ProxyFault`, or None."""
        self.fault = fault
        if fault is ProxyFault.RESET:
            for writer in list(self._open_writers):
                self.event_counts[fault] += 1
                writer.transport.abort()

    async def serve(self, reader, writer):
        """Serves one connection."""
        if self.fault is ProxyFault.RESET:
            self.event_counts[ProxyFault.RESET] += 1
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target())
        except OSError:
            # The connection ends as if there were no proxy.
            writer.transport.abort()
            return
        self._open_writers |= {writer, target_writer}
        directions = [
            asyncio.ensure_future(self._pass_on(reader, target_writer)),
            asyncio.ensure_future(self._pass_on(target_reader, writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._open_writers -= {writer, target_writer}
            for direction in directions:
                direction.cancel()
            target_writer.close()

    async def _pass_on(self, reader, writer):
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
            pass  # either side has ended, which ends both
