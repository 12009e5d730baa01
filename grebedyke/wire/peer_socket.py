"""UDP socket for peer messages; each message is one datagram to or from a configured address."""

import asyncio

from loguru import logger

# Longer datagrams, which other builds may send, are ignored.
DEFAULT_MAX_DATAGRAM_BYTES = 256
# Seconds between attempts to open the socket: a predecessor process may release the address shortly after it
# has reported its end.
REOPEN_DELAY = 0.2


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives peer messages; delivery is not guaranteed, and no component relies on it.

    Attributes:
        batch: The node's batch loop, for its input queue.
        on_message: Queued for the next batch; called with the time, the sender's number and the datagram.
        max_datagram_bytes: Maximum length of an accepted datagram.
        addresses: Host and port of each node, by its number.
        own_address: Address of this node, None if it has no peers.
        transport: asyncio's transport, None while the socket is not open.
        open_task: The task that opens or has opened the socket.
        failing: Whether the last attempt to open the socket failed.
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
        """Sets the nodes' addresses; reopens the socket only if this node's address has changed."""
        self.addresses = addresses
        self._numbers = {address: number for number, address in enumerate(addresses)}
        own_address = addresses[own_number] if addresses else None
        if own_address != self.own_address:
            self.close()
            self.own_address = own_address
            self.ensure_open()

    def ensure_open(self):
        """Opens the socket, and retries until the address is free; it would receive no messages otherwise."""
        if self.own_address and not self.transport and not (self.open_task and not self.open_task.done()):
            self.open_task = self._loop.create_task(self._open(self.own_address))

    async def _open(self, own_address):
        try:
            transport, _ = await self._loop.create_datagram_endpoint(lambda: self, local_addr=own_address)
        except OSError as problem:
            # The node works without peer messages: a missing answer is a case that each of them allows for.
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
            "peers: cannot listen on {host}:{port}: {why}",
            event="peers-fault",
            host=host,
            port=port,
            why=problem.strerror,
        )

    def datagram_received(self, data, address):
        """Called by asyncio with a datagram; a datagram from an unknown sender is ignored.

        Otherwise any machine could grant slots or report executors as full.
        """
        sender = self._numbers.get(address)
        if sender is not None and len(data) <= self.max_datagram_bytes:
            self.batch.enqueue(self.on_message, sender, data)

    def error_received(self, problem):
        """Called by asyncio if a peer's port is closed; ignored, as a missing answer has the same effect."""

    def send(self, receiver, body):
        """Sends a datagram to the node with number `receiver`, if it is configured and the socket is open."""
        if self.transport and receiver < len(self.addresses):
            self.transport.sendto(body, self.addresses[receiver])

    def close(self):
        """Closes the socket."""
        if self.transport:
            self.transport.close()
        self.transport = None
        self.own_address = None
