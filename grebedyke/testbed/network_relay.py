"""What lies between nodes: a relay for each ordered pair, so that each still knows the other by its address.

Node i is told S(i, j) as j's address. What i sends there goes out of S(j, i), which is what j knows as i, to
j's own address. Each way is spoilt on its own, so one may be cut while the other is not.
"""

import asyncio
import random
from collections import Counter

# What a stalled way holds back at most; a kernel's buffer ends too.
HELD = 4_000


class Way:
    """From one node to another. Chances of each datagram, `delay` and `jitter` in seconds.

    A way that is `stalled` holds what comes and lets it go as one flood when it goes on.
    """

    __slots__ = ("loss", "double", "spoil", "reorder", "delay", "jitter", "cut", "stalled", "held")

    def __init__(self):
        self.held = []
        self.heal()

    def heal(self):
        self.loss = self.double = self.spoil = self.reorder = self.delay = self.jitter = 0.0
        self.cut = self.stalled = False


class End(asyncio.DatagramProtocol):
    """One socket of the relay: the address by which node `here` knows node `there`."""

    def __init__(self, links, here, there):
        self.links, self.here, self.there, self.transport = links, here, there, None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        # Only node `here` sends here; a stray datagram of another process is none of this fleet's.
        if address == self.links.own.get(self.here):
            self.links.carry(self.here, self.there, data)

    def error_received(self, problem):
        """The node is down just now: so is its socket."""


class Links:
    """All ways between `count` nodes; `done` counts what was dropped, cut, held, doubled, spoilt, let by."""

    def __init__(self, count, seed=0):
        self.count, self.random, self.done = count, random.Random(f"links {seed}"), Counter()
        self.ways = {(i, j): Way() for i in range(count) for j in range(count) if i != j}
        self.ends, self.own = {}, {}
        self.loop = asyncio.get_running_loop()

    async def open(self):
        for i, j in self.ways:
            _, self.ends[i, j] = await self.loop.create_datagram_endpoint(
                lambda i=i, j=j: End(self, i, j), local_addr=("127.0.0.1", 0)
            )
        return self

    def peers(self, i, own):
        """The addresses that node i is told, by number; `own`: where its own socket is bound."""
        self.own[i] = own
        return [
            own if j == i else self.ends[i, j].transport.get_extra_info("sockname") for j in range(self.count)
        ]

    def carry(self, i, j, data):
        way, draw = self.ways[i, j], self.random.random
        if way.cut:
            self.done["cut"] += 1
        elif way.loss and draw() < way.loss:
            self.done["lost"] += 1
        elif way.stalled:
            self.done["held"] += 1
            if len(way.held) < HELD:
                way.held.append(data)
        else:
            if way.spoil and draw() < way.spoil and data:
                self.done["spoilt"] += 1
                at = int(draw() * len(data))
                data = data[:at] + bytes([data[at] ^ 1 << int(draw() * 8)]) + data[at + 1 :]
            times = 1
            if way.double and draw() < way.double:
                self.done["doubled"] += 1
                times = 2
            for _ in range(times):
                self.later(i, j, way, data)

    def later(self, i, j, way, data):
        wait = way.delay + way.jitter * self.random.random()
        if way.reorder and self.random.random() < way.reorder:
            self.done["reordered"] += 1
            wait += 0.05 * self.random.random()
        if wait:
            self.done["delayed"] += 1
            self.loop.call_later(wait, self.out, i, j, data)
        else:
            self.out(i, j, data)

    def out(self, i, j, data):
        end = self.ends.get((j, i))
        if end and not end.transport.is_closing() and j in self.own:
            self.done["carried"] += 1
            end.transport.sendto(data, self.own[j])

    def flow(self, i, j):
        """A stalled way goes on: what it held comes at once."""
        way = self.ways[i, j]
        way.stalled, held, way.held = False, way.held, []
        for data in held:
            self.out(i, j, data)

    def heal(self):
        """All ways as new; what was held comes as a flood."""
        for (i, j), way in self.ways.items():
            self.flow(i, j)
            way.heal()

    def close(self):
        for end in self.ends.values():
            end.transport.close()
        self.ends = {}
