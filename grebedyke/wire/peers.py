"""Words between nodes: one datagram each, to and from the addresses that the configuration names."""

import asyncio

from loguru import logger

# What other builds may send is bounded too; longer ones are nothing.
LARGEST = 256
# Another process of this node may hold the address a moment longer than its word that it has ended.
AGAIN = 0.2


class Peers(asyncio.DatagramProtocol):
    """`heard(now, by, body)` becomes an input of the next turn; words may be lost, nothing relies on them."""

    def __init__(self, loop, turn, heard, largest=LARGEST):
        self.loop, self.turn, self.heard, self.largest = loop, turn, heard, largest
        self.addresses, self.numbers, self.transport, self.own, self.task = [], {}, None, None, None
        self.failing = False

    def move(self, addresses, me):
        """From now on these nodes, by number; the own socket stays as long as its address does."""
        self.addresses, self.numbers = addresses, {address: i for i, address in enumerate(addresses)}
        own = addresses[me] if addresses else None
        if own != self.own:
            self.close()
            self.own = own
            self.again()

    async def open(self, own):
        try:
            transport, _ = await self.loop.create_datagram_endpoint(lambda: self, local_addr=own)
        except OSError as problem:
            # Without words nothing is lost: each ask is answered by silence, and the node goes on.
            if not self.failing:
                logger.error(
                    "peers: cannot listen at {host}:{port}: {why}",
                    event="peers-fault",
                    host=own[0],
                    port=own[1],
                    why=problem.strerror,
                )
            self.failing = True
            self.loop.call_later(AGAIN, self.again)
            return
        if own == self.own:
            self.transport, self.failing = transport, False
        else:
            transport.close()
            self.loop.call_soon(self.again)

    def again(self):
        """Until it has the address: given up after one try, a node would be deaf from then on."""
        if self.own and not self.transport and not (self.task and not self.task.done()):
            self.task = self.loop.create_task(self.open(self.own))

    def datagram_received(self, data, address):
        # Whoever is not named could else lend executors, or tell that they are full.
        by = self.numbers.get(address)
        if by is not None and len(data) <= self.largest:
            self.turn.put(self.heard, by, data)

    def error_received(self, problem):
        """A dead node's machine says so; that no word comes of it is what counts."""

    def send(self, to, body):
        if self.transport and to < len(self.addresses):
            self.transport.sendto(body, self.addresses[to])

    def close(self):
        if self.transport:
            self.transport.close()
        self.transport = self.own = None
