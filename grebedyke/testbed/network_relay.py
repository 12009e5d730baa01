"""A relay for the datagrams between nodes, with a socket for each ordered pair of them.

Node i is told the address of socket (i, j) as node j's. What it sends there leaves by socket (j, i), which is
what node j knows as node i, to node j's own address. Each direction has faults of its own, so one may be cut
while the other is not.
"""

import asyncio
import random
from collections import Counter

# Datagrams that a stalled link holds back at most; a kernel's buffer ends, too.
STALLED_LIMIT = 4_000
# A datagram that is overtaken is late by so many seconds at most.
REORDERING_DELAY = 0.05


class LinkFaults:
    """What is wrong with the link from one node to another.

    Attributes:
        loss: Probability of each datagram's loss.
        duplication: Probability that it arrives twice.
        corruption: Probability that one of its bits is flipped.
        reordering: Probability that it is held back for up to `REORDERING_DELAY`.
        delay: Of each datagram, in seconds.
        jitter: The largest further delay, in seconds.
        is_cut: Whether all are lost.
        is_stalled: Whether all are held back, to come as one flood later.
        stalled: The datagrams that are held back.
    """

    __slots__ = (
        "loss",
        "duplication",
        "corruption",
        "reordering",
        "delay",
        "jitter",
        "is_cut",
        "is_stalled",
        "stalled",
    )

    def __init__(self):
        self.stalled = []
        self.clear()

    def clear(self):
        """Makes the link good again."""
        self.loss = 0.0
        self.duplication = 0.0
        self.corruption = 0.0
        self.reordering = 0.0
        self.delay = 0.0
        self.jitter = 0.0
        self.is_cut = False
        self.is_stalled = False


class RelaySocket(asyncio.DatagramProtocol):
    """One socket of the relay: the address by which node `receiver` is known to node `sender`.

    Attributes:
        transport: The socket's transport.
    """

    def __init__(self, relay, sender, receiver):
        self.transport = None
        self._relay = relay
        self._sender = sender
        self._receiver = receiver

    def connection_made(self, transport):
        """Keeps the transport."""
        self.transport = transport

    def datagram_received(self, data, address):
        """Relays a datagram of the node; a stray one of another process is dropped."""
        if address == self._relay.node_addresses.get(self._sender):
            self._relay.relay(self._sender, self._receiver, data)

    def error_received(self, problem):
        """Does nothing: the node is down just now, and so is its socket."""


class NetworkRelay:
    """All links between the nodes of a cluster.

    Attributes:
        node_count: How many nodes there are.
        random: Draws the faults.
        event_counts: How many datagrams were relayed, lost, cut, held back and so on.
        links: The `LinkFaults` by (sender, receiver).
        node_addresses: The nodes' own addresses, by number.
    """

    def __init__(self, node_count, seed=0):
        self.node_count = node_count
        self.random = random.Random(f"links {seed}")
        self.event_counts = Counter()
        nodes = range(node_count)
        pairs = [(sender, receiver) for sender in nodes for receiver in nodes if sender != receiver]
        self.links = {pair: LinkFaults() for pair in pairs}
        self.node_addresses = {}
        self._sockets = {}
        self._loop = asyncio.get_running_loop()

    async def open(self):
        """Opens all sockets; returns itself."""
        for sender, receiver in self.links:
            socket = RelaySocket(self, sender, receiver)
            await self._loop.create_datagram_endpoint(
                lambda socket=socket: socket, local_addr=("127.0.0.1", 0)
            )
            self._sockets[sender, receiver] = socket
        return self

    def peer_addresses(self, node, own_address):
        """Returns the addresses that a node is told, by number; its socket is bound to `own_address`."""
        self.node_addresses[node] = own_address
        return [
            own_address if peer == node else self._socket_address(node, peer)
            for peer in range(self.node_count)
        ]

    def _socket_address(self, sender, receiver):
        return self._sockets[sender, receiver].transport.get_extra_info("sockname")

    def relay(self, sender, receiver, data):
        """Passes a datagram on, or does to it what is wrong with the link."""
        link = self.links[sender, receiver]
        draw = self.random.random
        if link.is_cut:
            self.event_counts["cut"] += 1
        elif link.loss and draw() < link.loss:
            self.event_counts["lost"] += 1
        elif link.is_stalled:
            self.event_counts["held"] += 1
            if len(link.stalled) < STALLED_LIMIT:
                link.stalled.append(data)
        else:
            if link.corruption and draw() < link.corruption and data:
                self.event_counts["spoilt"] += 1
                data = self._flip_bit(data)
            copies = 1
            if link.duplication and draw() < link.duplication:
                self.event_counts["doubled"] += 1
                copies = 2
            for _ in range(copies):
                self._send_later(sender, receiver, data)

    def _flip_bit(self, data):
        position = int(self.random.random() * len(data))
        flipped = bytes([data[position] ^ 1 << int(self.random.random() * 8)])
        return data[:position] + flipped + data[position + 1 :]

    def _send_later(self, sender, receiver, data):
        link = self.links[sender, receiver]
        delay = link.delay + link.jitter * self.random.random()
        if link.reordering and self.random.random() < link.reordering:
            self.event_counts["reordered"] += 1
            delay += REORDERING_DELAY * self.random.random()
        if delay:
            self.event_counts["delayed"] += 1
            self._loop.call_later(delay, self._send, sender, receiver, data)
        else:
            self._send(sender, receiver, data)

    def _send(self, sender, receiver, data):
        socket = self._sockets.get((receiver, sender))
        if socket and not socket.transport.is_closing() and receiver in self.node_addresses:
            self.event_counts["carried"] += 1
            socket.transport.sendto(data, self.node_addresses[receiver])

    def release(self, sender, receiver):
        """Lets a stalled link go on: what it has held back comes at once."""
        link = self.links[sender, receiver]
        link.is_stalled = False
        stalled = link.stalled
        link.stalled = []
        for data in stalled:
            self._send(sender, receiver, data)

    def clear_faults(self):
        """Makes all links good again; what was held back comes as a flood."""
        for (sender, receiver), link in self.links.items():
            self.release(sender, receiver)
            link.clear()

    def close(self):
        """Closes all sockets."""
        for socket in self._sockets.values():
            socket.transport.close()
        self._sockets = {}
