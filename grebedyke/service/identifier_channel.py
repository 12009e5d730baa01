"""Carries the messages about request identifiers between two processes of one node."""

import asyncio

from loguru import logger

from grebedyke.service.message_kinds import MessageKind
from grebedyke.service.request_identifiers import IdentifierMessenger, Ownership

# Seconds for which the start waits for the predecessor's identifiers. Later they still count: until then the
# requests of this process wait.
OWNERSHIP_TIMEOUT_S = 2.0


class IdentifierChannel(IdentifierMessenger):
    """Sends and receives the messages of a `RequestIdentifiers` over the channel of a hot restart.

    Attributes:
        hot_restart: The `HotRestart`.
        requests: The `RequestTable`.
        identifiers: Its `RequestIdentifiers`.
        clock: Returns the time in ticks; the same in all processes of a machine.
    """

    def __init__(self, hot_restart, requests, clock):
        self.hot_restart = hot_restart
        self.requests = requests
        self.identifiers = identifiers = requests.identifiers
        self.clock = clock
        self._ownership_received = None  # an event; None while the ownership is not awaited
        identifiers.messenger = self
        hot_restart.on_predecessor_end = self._on_predecessor_end
        hot_restart.on_successor_end = lambda: identifiers.on_successor_end(clock())
        hot_restart.handlers |= {
            MessageKind.TAKE_IDENTIFIERS: identifiers.on_ownership_requested,
            MessageKind.IDENTIFIERS: self._on_ownership,
            MessageKind.ENDED_IDENTIFIERS: self._on_ended_identifiers,
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

    def close(self):
        """Tells the predecessor which identifiers it has to go on refusing; to be called at the end."""
        if self.identifiers.ownership is Ownership.OWN and self.hot_restart.predecessor_gives_identifiers:
            ended = _encode_ended(self.identifiers.memory.entries())
            self._send(self.hot_restart.predecessor, MessageKind.ENDED_IDENTIFIERS, ended=ended)

    # Sending.

    def request_ownership(self):
        """See `IdentifierMessenger`."""
        self._send(self.hot_restart.predecessor, MessageKind.TAKE_IDENTIFIERS)

    def give_ownership(self, open_ids, ended_ids):
        """See `IdentifierMessenger`."""
        self._send(
            self.hot_restart.successor,
            MessageKind.IDENTIFIERS,
            open=[request_id.decode() for request_id in open_ids],
            ended=_encode_ended(ended_ids),
        )

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

    def release(self, request_id, known_until):
        """See `IdentifierMessenger`."""
        self._send(
            self.hot_restart.successor,
            MessageKind.RELEASE,
            id=request_id.decode(),
            known_until=known_until,
        )

    def is_congested(self):
        """See `IdentifierMessenger`."""
        successor = self.hot_restart.successor
        return successor is not None and successor.is_congested()

    @staticmethod
    def _send(channel, kind, **fields):
        if channel:
            channel.send({"kind": kind, **fields})

    # Receiving; the parameters are the fields of the messages.

    def _on_ownership(self, open, ended):
        open_ids = [request_id.encode() for request_id in open]
        self.identifiers.on_ownership(self.clock(), open_ids, _decode_ended(ended))
        self._stop_waiting()

    def _on_ended_identifiers(self, ended):
        self.identifiers.on_ended_identifiers(self.clock(), _decode_ended(ended))

    def _on_claim(self, id, number):
        self.identifiers.on_claim(self.clock(), id.encode(), number)

    def _on_decision(self, id, number, granted):
        self.identifiers.on_decision(id.encode(), number, granted)

    def _on_release(self, id, known_until):
        self.identifiers.on_release(self.clock(), id.encode(), known_until)

    def _on_predecessor_end(self):
        now = self.clock()
        self.identifiers.on_predecessor_end(now, self.requests.known_until(now))
        self._stop_waiting()

    def _stop_waiting(self):
        if self._ownership_received and self.identifiers.ownership is not Ownership.REQUESTED:
            self._ownership_received.set()


def _encode_ended(entries):
    return [(request_id.decode(), known_until) for request_id, known_until in entries]


def _decode_ended(entries):
    return [(request_id.encode(), known_until) for request_id, known_until in entries]
