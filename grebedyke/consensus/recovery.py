"""The start of a member up to its voting phase: founding, checking of its record, or rejoining."""

from grebedyke.consensus import member_record, messages, records
from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.ballots import NO_INCARNATION, Incarnation, supersedes
from grebedyke.consensus.membership import FIRST_EPOCH
from grebedyke.errors import CorruptRecordError


class Recovery:
    """Queries the other members periodically until this member may vote.

    Attributes:
        founders: The members at the first start.
        process_id: A number unique to this process.
        replies: The last `Status` of each other member.
        rejoining_as: The incarnation under which this member asks to rejoin, or None.
        states: The `RejoinState` of each member that has answered the rejoin request.
        next_query_at: The time of the next query, in ticks.
        reason: Why this member is in its phase; empty until the first change.
    """

    def __init__(self, consensus, founders, process_id):
        self.consensus = consensus
        self.acceptor = consensus.acceptor
        self.founders = list(founders)
        self.process_id = process_id
        self.replies = {}
        self.rejoining_as = None
        self.states = {}
        self.next_query_at = 0
        self.reason = ""

    def restore(self, now, data):
        """Starts the member from its record; `data` is None if the file does not exist.

        Raises:
            ForeignRecordError: The record belongs to another node or fleet.
        """
        self.next_query_at = now
        if data is None:
            if self.acceptor.node_id in self.founders:
                self._start_founding()
            return
        try:
            content = records.decode(self.consensus.fleet, self.acceptor.node_id, data)
            member_record.load(self.acceptor, content)
        except CorruptRecordError as problem:
            self.discard_state(now, f"spoilt: {problem}")
        except (KeyError, TypeError, ValueError):
            self.discard_state(now, "of another build")
        else:
            self.consensus.log("member", phase=self.acceptor.phase.value, why="its file is whole")
            for register in self.acceptor.registers.values():
                self.consensus.proposer.raise_counter(register.accepted.counter)

    def _start_founding(self):
        # A lost record looks the same as a first start, so the others are asked whether they know this
        # member. The incarnation is written before it is sent, so that a restart during the founding keeps
        # it.
        self.acceptor.phase = MemberPhase.FOUNDING
        self.acceptor.incarnation = Incarnation(1, self.process_id)
        self.consensus.store.mark_dirty()

    def discard_state(self, now, reason):
        """Stops voting until this member has rejoined, as its promises and accepted values are lost."""
        self.acceptor.phase = MemberPhase.FORGOTTEN
        self.acceptor.registers = {}
        self.acceptor.incarnation = NO_INCARNATION
        self.rejoining_as = None
        self.states = {}
        self.replies = {}
        self.consensus.store.discard_withheld()
        self.next_query_at = now
        self.reason = reason
        self.consensus.log("member", phase=MemberPhase.FORGOTTEN.value, why=reason)

    def query_members(self, now):
        """Queries the other members if a query is due."""
        acceptor = self.acceptor
        if acceptor.phase in (MemberPhase.VOTING, MemberPhase.OUT) or now < self.next_query_at:
            return
        timeout = self.consensus.round_timeout
        self.next_query_at = now + timeout + int(timeout * self.consensus.random_source.draw())
        others = acceptor.other_members()
        if acceptor.phase == MemberPhase.FORGOTTEN and self.rejoining_as:
            for node in others:
                if node not in self.states:
                    self.consensus.send_message(node, messages.RejoinRequest(self.rejoining_as))
        query = messages.StatusQuery(
            acceptor.phase, acceptor.incarnation, acceptor.vote_count, acceptor.epoch
        )
        for node in others:
            self.consensus.send_message(node, query)
        self.check_quorum(now)

    # Incoming messages.

    def on_status_query(self, now, sender, query):
        """Answers the status query of a member that is starting."""
        self.consensus.send_message(sender, self.acceptor.status(sender))

    def on_status(self, now, sender, status):
        """Handles the status of another member."""
        self.consensus.membership.adopt(now, status.epoch, status.members)
        self.replies[sender] = status
        if self.rejoining_as and supersedes(status.known_incarnation, self.rejoining_as):
            # The request was refused: another process has rejoined under the same number first.
            self.rejoining_as = None
        self.check_quorum(now)

    def on_rejoin_request(self, now, sender, request):
        """Answers the rejoin request of a member that has lost its state."""
        if sender in self.acceptor.members:
            self.consensus.store.answer(sender, self.acceptor.admit(sender, request.incarnation))

    def on_rejoin_state(self, now, sender, state):
        """Handles the state sent by another member."""
        is_expected = self.rejoining_as == state.requested_incarnation
        if (
            not is_expected
            or self.acceptor.phase != MemberPhase.FORGOTTEN
            or sender not in self.acceptor.members
        ):
            return
        self.states[sender] = state
        self.check_quorum(now)

    # Quorum checks.

    def check_quorum(self, now):
        """Continues founding, checking or rejoining if enough members have answered."""
        replies = {node: self.replies[node] for node in self.acceptor.other_members() if node in self.replies}
        phase = self.acceptor.phase
        if phase in (MemberPhase.FOUNDING, MemberPhase.CHECKING) and self._is_outdated(replies):
            reason = "an older copy" if phase == MemberPhase.CHECKING else "its folder was emptied"
            self.discard_state(now, reason)
        elif phase == MemberPhase.FOUNDING:
            self._check_founding(now, replies)
        elif phase == MemberPhase.CHECKING:
            self._check_record(replies)
        elif phase == MemberPhase.FORGOTTEN and not self.rejoining_as:
            self._begin_rejoin(now, replies)
        elif phase == MemberPhase.FORGOTTEN:
            self._finish_rejoin()

    def _is_outdated(self, replies):
        """Returns whether a member knows of a later state of this member than the record holds."""
        acceptor = self.acceptor
        for status in replies.values():
            known = status.known_incarnation
            if supersedes(known, acceptor.incarnation):
                return True
            if known == acceptor.incarnation and status.known_vote_count > acceptor.vote_count:
                return True
        return False

    def _check_founding(self, now, replies):
        if not self.consensus.store.is_clean() or not self._is_founded(replies):
            return
        for node, status in replies.items():
            self.acceptor.record_member(node, status.incarnation)
        self.acceptor.adopt_members(FIRST_EPOCH, self.founders)
        self._start_voting("founded")

    def _is_founded(self, replies):
        """Returns whether all members are founding, or a voting member knows this one as a founder."""
        for status in replies.values():
            if status.phase == MemberPhase.VOTING and status.known_incarnation == self.acceptor.incarnation:
                return True
        is_complete = len(replies) == len(self.acceptor.other_members())
        return is_complete and all(status.phase == MemberPhase.FOUNDING for status in replies.values())

    def _check_record(self, replies):
        intact = [
            status
            for status in replies.values()
            if status.phase in (MemberPhase.CHECKING, MemberPhase.VOTING)
        ]
        if len(intact) + 1 >= self.acceptor.quorum_size():
            self._start_voting("its file is the newest")

    def _begin_rejoin(self, now, replies):
        known = [
            status.known_incarnation.number
            for status in replies.values()
            if status.phase == MemberPhase.VOTING
        ]
        if len(known) < self.acceptor.quorum_size():
            return
        # The process number distinguishes two processes that both rejoin under the same number.
        self.rejoining_as = Incarnation(1 + max([*known, 0]), self.process_id)
        self.states = {}
        self.next_query_at = now

    def _finish_rejoin(self):
        if len(self.states) < self.acceptor.quorum_size():
            return
        self.acceptor.merge(self.states)
        self.acceptor.incarnation = self.rejoining_as
        self.acceptor.vote_count = 1
        for register in self.acceptor.registers.values():
            self.consensus.proposer.raise_counter(register.promised.counter)
        self._start_voting("let in again")

    def _start_voting(self, reason):
        """Begins to vote; the phase is written first, so that the next start does not use an older record."""
        self.acceptor.phase = MemberPhase.VOTING
        self.rejoining_as = None
        self.reason = reason
        self.consensus.store.start_voting(reason)
