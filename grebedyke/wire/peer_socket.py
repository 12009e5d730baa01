"""The socket for messages between nodes: one datagram each, to and from the configured addresses."""

import asyncio

from loguru import logger

# Longer datagrams, which other builds may send, are ignored.
DEFAULT_MAX_DATAGRAM_BYTES = 256
# Seconds between two tries to open the socket: another process of this node may hold the address a moment
# longer than it takes to say that it has ended.
REOPEN_DELAY = 0.2


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives peer messages, which may be lost; nothing relies on their arrival.

    Attributes:
        batch: The node's batches, for inputs.
        on_message: Input of the next batch: called with the time, the sender's number and the datagram.
        max_datagram_bytes: Longest datagram that is taken.
        addresses: Host and port of each node, by its number.
        own_address: The address of this node, None if it has no peers.
        transport: asyncio's transport, None while the socket is not open.
        open_task: The task that opens the socket, or has opened it.
        failing: Whether the last try to open the socket has failed.
    """

    def __init__(self, loop, batch, on_message, max_datagram_bytes=DEFAULT_MAX_DATAGRAM_BYTES):
        self.batch = batch
        self.on_message = on_message
        self.max_datagram_bytes = max_datagram_bytes
        self.addresses = []
        self.own_address = None
        self.transport = None
        self.open_task = None
        self.failing = False
        self._loop = loop
        self._numbers = {}

    def set_peers(self, addresses, own_number):
        """Knows these nodes from now on; the own socket stays open as long as its address is the same."""
        self.addresses = addresses
        self._numbers = {address: number for number, address in enumerate(addresses)}
        own_address = addresses[own_number] if addresses else None
        if own_address != self.own_address:
            self.close()
            self.own_address = own_address
            self.ensure_open()

    def ensure_open(self):
        """Opens the socket, and tries until it has the address: else the node would never hear the others."""
        if self.own_address and not self.transport and not (self.open_task and not self.open_task.done()):
            self.open_task = self._loop.create_task(self._open(self.own_address))

    async def _open(self, own_address):
        try:
            transport, _ = await self._loop.create_datagram_endpoint(lambda: self, local_addr=own_address)
        except OSError as problem:
            # Nothing is lost without peer messages: each one is answered by silence, and the node goes on.
            self._log_failure(own_address, problem)
            self.failing = True
            self._loop.call_later(REOPEN_DELAY, self.ensure_open)
            return
        if own_address == self.own_address:
            self.transport = transport
            self.failing = False
        else:
            transport.close()
            self._loop.call_soon(self.ensure_open)

    def _log_failure(self, own_address, problem):
        if self.failing:
            return
        host, port = own_address
        logger.error(
            "peers: cannot listen at {host}:{port}: {why}",
            event="peers-fault",
            host=host,
            port=port,
            why=problem.strerror,
        )

    def datagram_received(self, data, address):
        """Called by asyncio with a datagram; one of an unknown sender is ignored.

        Any other machine could else grant slots, or say that executors are full.
        """
        sender = self._numbers.get(address)
        if sender is not None and len(data) <= self.max_datagram_bytes:
            self.batch.enqueue(self.on_message, sender, data)

    def error_received(self, problem):
        """Called by asyncio when a peer's machine says that nobody listens there: silence says the same."""

    def send(self, receiver, body):
        """Sends a datagram to the node of that number, if there is such a node and the socket is open."""
        if self.transport and receiver < len(self.addresses):
            self.transport.sendto(body, self.addresses[receiver])

    def close(self):
        """Closes the socket."""
        if self.transport:
            self.transport.close()
        self.transport = None
        self.own_address = None
