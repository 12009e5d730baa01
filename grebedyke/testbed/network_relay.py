"""A relay for the datagrams between nodes, with one socket for each ordered pair of nodes.

Node i is configured with the address of socket (i, j) as the address of node j. The relay forwards datagrams
that arrive there to node j's own address from socket (j, i), which node j has as the address of node i. Each
direction has its own faults, so one direction can be cut without the other.
"""

import asyncio
import random
from collections import Counter

# Largest number of datagrams that a stalled link holds back; the rest is lost, as with a full socket buffer.
MAX_STALLED_DATAGRAMS = 4_000
# Longest additional delay of a reordered datagram, in seconds.
MAX_REORDERING_DELAY = 0.05


class LinkFaults:
    """The faults of the link from one node to another.

    Attributes:
        loss: Probability that a datagram is lost.
        duplication: Probability that a datagram arrives twice.
        corruption: Probability that one bit of a datagram is flipped.
        reordering: Probability that a datagram is delayed for up to `MAX_REORDERING_DELAY`.
        delay: Delay of each datagram, in seconds.
        jitter: Largest additional random delay, in seconds.
        is_cut: Whether all datagrams are lost.
        is_stalled: Whether all datagrams are held back until the link is released.
        stalled_datagrams: The datagrams that are held back.
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
        "stalled_datagrams",
    )

    def __init__(self):
        self.stalled_datagrams = []
        self.clear()

    def clear(self):
        """Removes all faults; datagrams that are held back remain so."""
        self.loss = 0.0
        self.duplication = 0.0
        self.corruption = 0.0
        self.reordering = 0.0
        self.delay = 0.0
        self.jitter = 0.0
        self.is_cut = False
        self.is_stalled = False


class RelaySocket(asyncio.DatagramProtocol):
    """One socket of the relay; node `sender` uses its address as the address of node `receiver`.

    Attributes:
        transport: The socket's transport.
    """

    def __init__(self, relay, sender, receiver):
        self.transport = None
        self._relay = relay
        self._sender = sender
        self._receiver = receiver

    def connection_made(self, transport):
        """Stores the transport."""
        self.transport = transport

    def datagram_received(self, data, address):
        """Relays a datagram from the sender; drops datagrams from other addresses."""
        if address == self._relay.node_addresses.get(self._sender):
            self._relay.relay(self._sender, self._receiver, data)

    def error_received(self, problem):
        """Ignores the error: the node's process is down, so its socket does not exist."""


class NetworkRelay:
    """All links between the nodes of a cluster.

    Attributes:
        node_count: Number of nodes.
        random: Random number generator of the faults.
        event_counts: Number of datagrams that were relayed, lost, cut, held back and so on.
        links: The `LinkFaults` by (sender, receiver).
        node_addresses: The address of each node's own socket, by the node's number.
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
        """Returns the address of each node for the configuration of `node`.

        Args:
            node: The node's number.
            own_address: The address to which the node's own socket is bound.
        """
        self.node_addresses[node] = own_address
        return [
            own_address if peer == node else self._socket_address(node, peer)
            for peer in range(self.node_count)
        ]

    def _socket_address(self, sender, receiver):
        return self._sockets[sender, receiver].transport.get_extra_info("sockname")

    def relay(self, sender, receiver, data):
        """Forwards a datagram, with the faults of its link."""
        link = self.links[sender, receiver]
        draw = self.random.random
        if link.is_cut:
            self.event_counts["cut"] += 1
        elif link.loss and draw() < link.loss:
            self.event_counts["lost"] += 1
        elif link.is_stalled:
            self.event_counts["held"] += 1
            if len(link.stalled_datagrams) < MAX_STALLED_DATAGRAMS:
                link.stalled_datagrams.append(data)
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
            delay += MAX_REORDERING_DELAY * self.random.random()
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
        """Ends the stall of a link and sends all datagrams that were held back."""
        link = self.links[sender, receiver]
        link.is_stalled = False
        stalled = link.stalled_datagrams
        link.stalled_datagrams = []
        for data in stalled:
            self._send(sender, receiver, data)

    def clear_faults(self):
        """Removes the faults of all links and sends all datagrams that were held back."""
        for (sender, receiver), link in self.links.items():
            self.release(sender, receiver)
            link.clear()

    def close(self):
        """Closes all sockets."""
        for socket in self._sockets.values():
            socket.transport.close()
        self._sockets = {}
