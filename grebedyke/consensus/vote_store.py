"""The member's record on disk: written as a whole, one write at a time, before answers that depend on it."""

from typing import NamedTuple

from grebedyke.consensus import member_record, messages, records
from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.actions import PersistRecord
from grebedyke.consensus.ballots import Incarnation

FILE = "votes"
PAUSE_AFTER_FAILURE = 4
"""Delay of the next write after a failed one, in round timeouts."""


class WithheldMessage(NamedTuple):
    """A message that is withheld until the state it depends on is on disk."""

    node: int
    message: NamedTuple


class WithheldVotingStart(NamedTuple):
    """The start of the voting phase, logged once it is on disk.

    Attributes:
        reason: Why the member may vote.
    """

    reason: str


class Write(NamedTuple):
    """A write in progress.

    Attributes:
        number: The number of the `PersistRecord`.
        withheld: The entries released when the write has succeeded.
        incarnation: The member's incarnation in the record.
        vote_count: The member's vote count in the record.
    """

    number: int
    withheld: list
    incarnation: Incarnation
    vote_count: int


class VoteStore:
    """Persists the acceptor's state.

    Attributes:
        is_dirty: Whether there are changes that must be persisted and are not part of a write yet.
        current_write: The `Write` in progress, or None.
        write_number: The number of the last write.
        failure_count: Number of failed writes.
        paused_until: The earliest start of the next write, in ticks.
        flush_at: The time at which state received from other members is written, unless an earlier write
            includes it, in ticks; None if there is none.
        withheld: The entries that wait for the next write.
        announced_vote_count: The vote count last announced to the other members.
    """

    def __init__(self, consensus):
        self.consensus = consensus
        self.acceptor = consensus.acceptor
        self.is_dirty = False
        self.current_write = None
        self.write_number = 0
        self.failure_count = 0
        self.paused_until = 0
        self.flush_at = None
        self.withheld = []
        self.announced_vote_count = 0

    def is_clean(self):
        """Returns whether everything that must be persisted is on disk."""
        return self.current_write is None and not self.is_dirty

    def mark_dirty(self):
        """Requests a write of the state as soon as no other write is in progress."""
        self.is_dirty = True

    def flush_later(self, now):
        """Requests a write of the state within a round timeout, together with later changes.

        Used for state received from other members: a write for each message would delay votes.
        """
        if self.flush_at is None:
            self.flush_at = now + self.consensus.round_timeout

    def answer(self, node, answer):
        """Sends an acceptor's `Answer`, after the next write if it needs persisting."""
        if not answer.needs_persisting:
            self.consensus.send_message(node, answer.message)
            return
        self.withheld.append(WithheldMessage(node, answer.message))
        self.mark_dirty()

    def start_voting(self, reason):
        """Persists the voting phase and then logs it."""
        self.withheld.append(WithheldVotingStart(reason))
        self.mark_dirty()

    def discard_withheld(self):
        """Drops the withheld entries, as the state they depend on is lost."""
        self.withheld.clear()
        self.announced_vote_count = 0

    # Writes.

    def next_write(self, now):
        """Returns the `PersistRecord` that is due, or None."""
        is_due = self.is_dirty or (self.flush_at is not None and now >= self.flush_at)
        if not is_due or self.current_write is not None or now < self.paused_until:
            return None
        self.write_number += 1
        self.flush_at = None
        self.is_dirty = False
        self.current_write = Write(
            self.write_number, self.withheld, self.acceptor.incarnation, self.acceptor.vote_count
        )
        self.withheld = []
        content = member_record.record_fields(self.acceptor)
        data = records.encode(self.consensus.fleet, self.acceptor.node_id, content)
        return PersistRecord(FILE, self.write_number, data)

    def next_write_time(self):
        """Returns when the next write is due, in ticks; None if none is needed or one is in progress."""
        if self.current_write is not None:
            return None
        if self.is_dirty:
            return self.paused_until
        if self.flush_at is not None:
            return max(self.paused_until, self.flush_at)
        return None

    def write_finished(self, now, number, succeeded):
        """Handles the result of a write."""
        write = self.current_write
        if write is None or number != write.number:
            return
        self.current_write = None
        if not succeeded:
            self._write_failed(now)
            return
        self._release(write.withheld)
        self._announce(write)

    def _write_failed(self, now):
        self.failure_count += 1
        self.paused_until = now + PAUSE_AFTER_FAILURE * self.consensus.round_timeout
        if self.acceptor.phase == MemberPhase.FOUNDING:
            # Nothing that depends on this record has been sent yet, so it may be written again.
            self.mark_dirty()
            return
        # After a failed sync the kernel may mark the lost pages as clean, so a later successful sync does not
        # prove that the record is on disk. The member discards its state and rejoins.
        self.consensus.recovery.discard_state(now, "its disk failed")
        self.consensus.recovery.next_query_at = self.paused_until

    def _release(self, withheld):
        for entry in withheld:
            if isinstance(entry, WithheldVotingStart):
                self.consensus.log("member", phase=self.acceptor.phase.value, why=entry.reason)
            else:
                self.consensus.send_message(entry.node, entry.message)

    def _announce(self, write):
        """Announces the vote count in the written record to the other members.

        This reveals an older copy of the record even if no proposal that counted the vote was chosen. The
        count is the one in the record: with a later count, a kill before the next write would make the newest
        record look like an older copy.
        """
        if write.vote_count <= self.announced_vote_count:
            return
        if self.acceptor.phase != MemberPhase.VOTING or write.incarnation != self.acceptor.incarnation:
            return
        self.announced_vote_count = write.vote_count
        for node in self.acceptor.other_members():
            self.consensus.send_message(node, messages.VoteCount(write.incarnation, write.vote_count))
