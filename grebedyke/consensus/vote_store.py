"""The member's record on disk: written whole, one write at a time, before the answers that rest on it."""

from typing import NamedTuple

from grebedyke.consensus import member_record, messages, records
from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.actions import PersistRecord
from grebedyke.consensus.ballots import Incarnation

FILE = "votes"
PAUSE_AFTER_FAILURE = 4
"""How long nothing is written after a failed write, in round timeouts."""


class WithheldMessage(NamedTuple):
    """A message that is sent once the state behind it is on disk."""

    node: int
    message: NamedTuple


class WithheldVote(NamedTuple):
    """That this member votes from now on, logged once it is on disk.

    Attributes:
        reason: Why it may vote.
    """

    reason: str


class Write(NamedTuple):
    """A write under way.

    Attributes:
        number: The number of its `PersistRecord`.
        withheld: What waits for it.
        incarnation: The member's, in the record.
        vote_count: The member's, in the record.
    """

    number: int
    withheld: list
    incarnation: Incarnation
    vote_count: int


class VoteStore:
    """Keeps the acceptor's state on disk.

    Attributes:
        is_dirty: Whether something that must be on disk is not yet being written.
        current_write: The write under way, None where there is none.
        write_number: The number of the last write.
        failure_count: How many writes have failed.
        paused_until: No write begins before, in ticks.
        flush_at: When what the other members have told is written if nothing else has taken it along, in
            ticks; None where there is nothing.
        withheld: What the next write has to be waited for.
        announced_vote_count: The vote count that was announced to the other members last.
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
        """Returns whether all that must be on disk is there."""
        return self.current_write is None and not self.is_dirty

    def mark_dirty(self):
        """Has the state written as soon as no other write is under way."""
        self.is_dirty = True

    def flush_later(self, now):
        """Has the state written within a round timeout, with what comes meanwhile.

        For what the others have told: with a write for each message votes would wait for the disk.
        """
        if self.flush_at is None:
            self.flush_at = now + self.consensus.round_timeout

    def answer(self, node, answer):
        """Sends an acceptor's `Answer`, after the next write if it rests on what that writes."""
        if not answer.needs_persisting:
            self.consensus.send_message(node, answer.message)
            return
        self.withheld.append(WithheldMessage(node, answer.message))
        self.mark_dirty()

    def start_voting(self, reason):
        """Writes that this member votes, and then logs it."""
        self.withheld.append(WithheldVote(reason))
        self.mark_dirty()

    def forget(self):
        """Drops what is withheld: the state that it rests on is lost."""
        self.withheld.clear()
        self.announced_vote_count = 0

    # Writes.

    def next_write(self, now):
        """Returns the `PersistRecord` that is due, None where none is."""
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
        content = member_record.fields_of(self.acceptor)
        data = records.encode(self.consensus.fleet, self.acceptor.node_id, content)
        return PersistRecord(FILE, self.write_number, data)

    def next_write_time(self):
        """Returns when the next write is due, in ticks; None where none is or one is under way."""
        if self.current_write is not None:
            return None
        if self.is_dirty:
            return self.paused_until
        if self.flush_at is not None:
            return max(self.paused_until, self.flush_at)
        return None

    def write_finished(self, now, number, succeeded):
        """Takes the report of a write."""
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
            # Nobody has been told anything yet, so the same may be written again.
            self.mark_dirty()
            return
        # After a failed sync the kernel may take the lost pages for clean: a later sync that succeeds does
        # not prove that the record is on disk. The member has forgotten and rejoins.
        self.consensus.recovery.forget(now, "its disk failed")
        self.consensus.recovery.next_query_at = self.paused_until

    def _release(self, withheld):
        for entry in withheld:
            if isinstance(entry, WithheldVote):
                self.consensus.log("member", phase=self.acceptor.phase.value, why=entry.reason)
            else:
                self.consensus.send_message(entry.node, entry.message)

    def _announce(self, write):
        """Tells the other members the vote count that is on disk.

        An older copy of the record then shows even where no proposal that counted the vote was chosen. Only
        what that record has is told: with a later count a kill before the next write would make the newest
        record pass for an older copy.
        """
        if write.vote_count <= self.announced_vote_count:
            return
        if self.acceptor.phase != MemberPhase.VOTING or write.incarnation != self.acceptor.incarnation:
            return
        self.announced_vote_count = write.vote_count
        for node in self.acceptor.other_members():
            self.consensus.send_message(node, messages.VoteCount(write.incarnation, write.vote_count))
