"""Carries the messages about request identifiers between two processes of one node."""

import asyncio

from loguru import logger

from grebedyke.service.hot_restart import MessageKind
from grebedyke.service.request_identifiers import IdentifierMessenger, Ownership

# Seconds for which the start waits for the predecessor's identifiers. Later they still count: until then the
# requests of this process wait.
OWNERSHIP_TIMEOUT_S = 2.0


class IdentifierChannel(IdentifierMessenger):
    """Sends and receives the messages of a `RequestIdentifiers` over the channel of a hot restart.

    Attributes:
        hot_restart: The `HotRestart`.
        identifiers: The `RequestIdentifiers`.
    """

    def __init__(self, hot_restart, identifiers):
        self.hot_restart = hot_restart
        self.identifiers = identifiers
        self._ownership_received = None  # an event; None while the ownership is not awaited
        identifiers.messenger = self
        hot_restart.on_predecessor_end = self._on_predecessor_end
        hot_restart.on_successor_end = identifiers.on_successor_end
        hot_restart.handlers |= {
            MessageKind.TAKE_IDENTIFIERS: identifiers.on_ownership_requested,
            MessageKind.IDENTIFIERS: self._on_ownership,
            MessageKind.CLAIM: self._on_claim,
            MessageKind.DECISION: self._on_decision,
            MessageKind.RELEASE: self._on_release,
        }

    async def take_ownership(self):
        """Takes the ownership from the predecessor, if there is one; to be called before listening."""
        if not (self.hot_restart.predecessor and self.hot_restart.predecessor_gives_identifiers):
            return
        self._ownership_received = asyncio.Event()
        self.identifiers.request_ownership()
        try:
            await asyncio.wait_for(self._ownership_received.wait(), OWNERSHIP_TIMEOUT_S)
        except TimeoutError:
            logger.warning(
                "the old process does not tell which requests it has: new ones wait for that",
                event="identifiers-late",
            )

    # Sending.

    def request_ownership(self):
        """See `IdentifierMessenger`."""
        self._send(self.hot_restart.predecessor, MessageKind.TAKE_IDENTIFIERS)

    def give_ownership(self, request_ids):
        """See `IdentifierMessenger`."""
        ids = [request_id.decode() for request_id in request_ids]
        self._send(self.hot_restart.successor, MessageKind.IDENTIFIERS, ids=ids)

    def claim(self, request_id, number):
        """See `IdentifierMessenger`."""
        self._send(self.hot_restart.successor, MessageKind.CLAIM, id=request_id.decode(), number=number)

    def decide(self, request_id, number, is_granted):
        """See `IdentifierMessenger`."""
        self._send(
            self.hot_restart.predecessor,
            MessageKind.DECISION,
            id=request_id.decode(),
            number=number,
            granted=is_granted,
        )

    def release(self, request_id):
        """See `IdentifierMessenger`."""
        self._send(self.hot_restart.successor, MessageKind.RELEASE, id=request_id.decode())

    @staticmethod
    def _send(channel, kind, **fields):
        if channel:
            channel.send({"kind": kind, **fields})

    # Receiving; the parameters are the fields of the messages.

    def _on_ownership(self, ids):
        self.identifiers.on_ownership([request_id.encode() for request_id in ids])
        self._stop_waiting()

    def _on_claim(self, id, number):
        self.identifiers.on_claim(id.encode(), number)

    def _on_decision(self, id, number, granted):
        self.identifiers.on_decision(id.encode(), number, granted)

    def _on_release(self, id):
        self.identifiers.on_release(id.encode())

    def _on_predecessor_end(self):
        self.identifiers.on_predecessor_end()
        self._stop_waiting()

    def _stop_waiting(self):
        if self._ownership_received and self.identifiers.ownership is not Ownership.REQUESTED:
            self._ownership_received.set()
