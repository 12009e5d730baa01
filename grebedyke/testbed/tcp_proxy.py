"""What lies before a TCP address: a relay that may fall silent, be slow, reset or let nobody in."""

import asyncio
from collections import Counter

from grebedyke.standin import talk

KINDS = {
    "silent": "takes connections and says nothing",
    "reset": "resets each connection",
    "slow": "lets bytes by late",
}
PIECE = 65_536


class Door(talk.Server):
    """Carries bytes to `to()`; `bad`: None or one of KINDS. Open connections feel a change at once."""

    def __init__(self, to, wait=0.3):
        super().__init__()
        self.to, self.wait, self.bad, self.done = to, wait, None, Counter()
        self.writers = set()

    def turn(self, bad):
        self.bad = bad
        if bad == "reset":
            for writer in list(self.writers):
                self.done["reset"] += 1
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.bad == "reset":
            self.done["reset"] += 1
            return writer.transport.abort()
        try:
            there, back = await asyncio.open_connection(*self.to())
        except OSError:
            return writer.transport.abort()  # as if it were the place itself
        self.writers |= {writer, back}
        ways = [
            asyncio.ensure_future(self.pump(reader, back)),
            asyncio.ensure_future(self.pump(there, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.writers -= {writer, back}
            for way in ways:
                way.cancel()
            back.close()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(PIECE):
                while self.bad == "silent":
                    self.done["silent"] += 1
                    await asyncio.sleep(0.05)
                if self.bad == "slow":
                    self.done["slow"] += 1
                    await asyncio.sleep(self.wait)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # either side has ended, which ends both
