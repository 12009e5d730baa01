"""Decides which process of a node may accept a request identifier.

An identifier is in use while its request is open, and for some time afterwards if the job may have run: a
client that has left and sends its request again must not run the job a second time.

Alone, a process decides by itself. During a hot restart two processes accept requests on one address, and an
identifier that is in use in one of them must not be accepted by the other. So exactly one process owns the
decision at each moment:

1. The successor takes the ownership right before it listens. The predecessor answers with all identifiers
   that it holds, and accepts no further one by itself.
2. From then on the predecessor claims each identifier at the successor before it admits the request.
3. When the successor ends, the predecessor is the owner again. When the predecessor ends, what it held may
   have run.

A process that has asked for a decision and gets none must assume that the other one holds the identifier: the
request waits, and ends with an error when its time is up. Its messages are sent in order, so the owner knows
of each claim before the release that ends it.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from grebedyke.model.identifier_memory import IdentifierMemory


class Ownership(Enum):
    """Who decides about identifiers.

    Attributes:
        OWN: This process.
        REQUESTED: This process, as soon as the predecessor has told which identifiers it holds.
        AT_SUCCESSOR: The successor.
    """

    OWN = "own"
    REQUESTED = "requested"
    AT_SUCCESSOR = "at successor"


class _Claim(NamedTuple):
    """A claim without a decision so far.

    Attributes:
        number: Tells it from an earlier claim of the same identifier.
        on_decided: Called with whether the claim is granted.
    """

    number: int
    on_decided: Callable[[bool], None]


class IdentifierMessenger:
    """Sends the messages about identifiers to the other process; a subclass connects it to a channel."""

    def request_ownership(self):
        """Asks the predecessor for the ownership."""

    def give_ownership(self, open_ids, ended_ids):
        """Answers the successor's request with the identifiers that this process holds.

        Args:
            open_ids: Those of open requests.
            ended_ids: Those that are remembered, each with the time until which it is.
        """

    def claim(self, request_id, number):
        """Asks the successor for a decision."""

    def decide(self, request_id, number, is_granted):
        """Answers a claim of the predecessor."""

    def release(self, request_id, known_until):
        """Tells the successor that an identifier is not open here any more."""

    def is_congested(self):
        """Returns whether the other process has not read the last messages, so that no claim may be sent."""
        return False


class RequestIdentifiers:
    """The identifiers of open requests, in this process and in the other one of a hot restart.

    Attributes:
        open_here: The identifiers of this process's requests; a container that the request table keeps.
        messenger: The `IdentifierMessenger`.
        ownership: The `Ownership`.
        memory: The `IdentifierMemory` of ended requests.
        held_by_predecessor: Identifiers that the predecessor holds.
        claims: The `_Claim`s without a decision, by identifier.
    """

    def __init__(self, open_here):
        self.open_here = open_here
        self.messenger = IdentifierMessenger()
        self.ownership = Ownership.OWN
        self.memory = IdentifierMemory()
        self.held_by_predecessor = set()
        self.claims = {}
        self._last_number = 0
        self._successor_waits = False  # for the ownership, which this process does not have yet

    # Requests of this process.

    def is_known(self, now, request_id):
        """Returns whether this process knows that an identifier is in use."""
        return (
            request_id in self.open_here
            or request_id in self.held_by_predecessor
            or self.memory.knows(now, request_id)
        )

    def can_claim(self):
        """Returns whether a claim can be decided in time; without that, messages would pile up."""
        return self.ownership is Ownership.OWN or not self.messenger.is_congested()

    def claim(self, request_id, on_decided):
        """Claims an identifier that this process does not know to be in use; `release` ends the claim.

        Args:
            request_id: The identifier.
            on_decided: Called with whether the identifier may be accepted: at once if this process is the
                owner, otherwise when the other one has answered.
        """
        if self.ownership is Ownership.OWN:
            on_decided(True)
            return
        self._last_number += 1
        self.claims[request_id] = _Claim(self._last_number, on_decided)
        if self.ownership is Ownership.AT_SUCCESSOR:
            self.messenger.claim(request_id, self._last_number)

    def release(self, now, request_id, known_until=None):
        """Ends the claim of an identifier.

        Args:
            now: Time in ticks.
            request_id: The identifier.
            known_until: Time in ticks until which it stays in use, as its job may have run; None if it
                provably never ran.
        """
        self.claims.pop(request_id, None)
        if known_until is not None:
            self.memory.remember(now, request_id, known_until)
        if self.ownership is Ownership.AT_SUCCESSOR:
            self.messenger.release(request_id, known_until)

    # The successor's side.

    def request_ownership(self):
        """Asks the predecessor for the ownership; claims wait until it answers."""
        self.ownership = Ownership.REQUESTED
        self.messenger.request_ownership()

    def on_ownership(self, now, open_ids, ended_ids):
        """Takes the ownership, with the identifiers that the predecessor holds."""
        self.on_ended_identifiers(now, ended_ids)
        if self.ownership is Ownership.REQUESTED:
            self.held_by_predecessor.update(open_ids)
            self._become_owner(now)

    def on_ended_identifiers(self, now, ended_ids):
        """Remembers identifiers that the other process remembers, each with the time until which it does."""
        for request_id, known_until in ended_ids:
            self.memory.remember(now, request_id, known_until)

    def on_claim(self, now, request_id, number):
        """Handles a claim of the predecessor."""
        if self.is_known(now, request_id):
            self.messenger.decide(request_id, number, False)
            return
        self.held_by_predecessor.add(request_id)
        self.claim(request_id, lambda is_granted: self._answer_predecessor(request_id, number, is_granted))

    def _answer_predecessor(self, request_id, number, is_granted):
        if not is_granted:
            self.held_by_predecessor.discard(request_id)
        self.messenger.decide(request_id, number, is_granted)

    def on_release(self, now, request_id, known_until):
        """Handles the end of a request of the predecessor; see `release`."""
        if request_id in self.held_by_predecessor:
            self.held_by_predecessor.discard(request_id)
            self.release(now, request_id, known_until)

    def on_predecessor_end(self, now, known_until):
        """Releases what the predecessor held: its jobs may have run, as it did not say how they ended."""
        for request_id in list(self.held_by_predecessor):
            self.on_release(now, request_id, known_until)
        if self.ownership is Ownership.REQUESTED:
            self._become_owner(now)

    # The predecessor's side.

    def on_ownership_requested(self):
        """Gives the ownership to the successor, as soon as this process has it."""
        if self.ownership is Ownership.REQUESTED:
            self._successor_waits = True
            return
        self.ownership = Ownership.AT_SUCCESSOR
        open_ids = [*self.open_here, *self.held_by_predecessor]
        self.messenger.give_ownership(open_ids, self.memory.entries())

    def on_decision(self, request_id, number, is_granted):
        """Handles the successor's decision on a claim, unless the claim was released in the meantime."""
        claim = self.claims.get(request_id)
        if claim and claim.number == number:
            del self.claims[request_id]
            claim.on_decided(is_granted)

    def on_successor_end(self, now):
        """Takes the ownership back, as the successor has ended with all its requests."""
        self._successor_waits = False
        if self.ownership is Ownership.AT_SUCCESSOR:
            self.ownership = Ownership.OWN
            for request_id, claim in self._take_claims().items():
                claim.on_decided(not self.memory.knows(now, request_id))

    def _become_owner(self, now):
        self.ownership = Ownership.OWN
        for request_id, claim in self._take_claims().items():
            is_free = request_id not in self.held_by_predecessor and not self.memory.knows(now, request_id)
            claim.on_decided(is_free)
        if self._successor_waits:
            self._successor_waits = False
            self.on_ownership_requested()

    def _take_claims(self):
        claims = self.claims
        self.claims = {}
        return claims
