"""How a member gets to vote when its process starts: founding, checking of its record, or rejoining."""

from grebedyke.consensus import member_record, messages, records
from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.ballots import NO_INCARNATION, Incarnation, supersedes
from grebedyke.consensus.membership import FIRST_EPOCH
from grebedyke.errors import CorruptRecordError


class Recovery:
    """Asks the other members, at intervals, until this one may vote.

    Attributes:
        founders: The members of the first start.
        process_id: A number that no other process has.
        replies: By member, the `Status` it has told.
        rejoining_as: The incarnation under which this member asks to rejoin, None where it does not.
        states: By member, the `RejoinState` it has told.
        next_query_at: When the members are asked next, in ticks.
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
        """Starts the member from its record; `data` is None where there is none.

        Raises:
            ForeignRecordError: The record is another node's or another fleet's.
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
            self.forget(now, f"spoilt: {problem}")
        except (KeyError, TypeError, ValueError):
            self.forget(now, "of another build")
        else:
            self.consensus.log("member", phase=self.acceptor.phase.value, why="its file is whole")
            for register in self.acceptor.registers.values():
                self.consensus.proposer.raise_counter(register.accepted.counter)

    def _start_founding(self):
        # A lost record looks the same: the others are asked whether they know this member. The incarnation
        # is written before it is told, so that a restart amid the founding is still the same founder.
        self.acceptor.phase = MemberPhase.FOUNDING
        self.acceptor.incarnation = Incarnation(1, self.process_id)
        self.consensus.store.mark_dirty()

    def forget(self, now, reason):
        """Stops voting until this member has rejoined: what it has promised and accepted is unknown."""
        self.acceptor.phase = MemberPhase.FORGOTTEN
        self.acceptor.registers = {}
        self.acceptor.incarnation = NO_INCARNATION
        self.rejoining_as = None
        self.states = {}
        self.replies = {}
        self.consensus.store.forget()
        self.next_query_at = now
        self.reason = reason
        self.consensus.log("member", phase=MemberPhase.FORGOTTEN.value, why=reason)

    def query_members(self, now):
        """Asks the other members where that is due."""
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

    # What comes in.

    def on_status_query(self, now, sender, query):
        """Answers a member that is starting."""
        self.consensus.send_message(sender, self.acceptor.status(sender))

    def on_status(self, now, sender, status):
        """Takes another member's answer."""
        self.consensus.membership.adopt(now, status.epoch, status.members)
        self.replies[sender] = status
        if self.rejoining_as and supersedes(status.remembered_incarnation, self.rejoining_as):
            # Refused: another process has come back under that number first.
            self.rejoining_as = None
        self.check_quorum(now)

    def on_rejoin_request(self, now, sender, request):
        """Answers a member that has forgotten."""
        if sender in self.acceptor.members:
            self.consensus.store.answer(sender, self.acceptor.admit(sender, request.incarnation))

    def on_rejoin_state(self, now, sender, state):
        """Takes what another member knows."""
        is_expected = self.rejoining_as == state.requested_incarnation
        if (
            not is_expected
            or self.acceptor.phase != MemberPhase.FORGOTTEN
            or sender not in self.acceptor.members
        ):
            return
        self.states[sender] = state
        self.check_quorum(now)

    # Whether enough members have answered.

    def check_quorum(self, now):
        """Goes on with founding, checking or rejoining if what the other members told is enough."""
        replies = {node: self.replies[node] for node in self.acceptor.other_members() if node in self.replies}
        phase = self.acceptor.phase
        if phase in (MemberPhase.FOUNDING, MemberPhase.CHECKING) and self._is_outdated(replies):
            reason = "an older copy" if phase == MemberPhase.CHECKING else "its folder was emptied"
            self.forget(now, reason)
        elif phase == MemberPhase.FOUNDING:
            self._check_founding(now, replies)
        elif phase == MemberPhase.CHECKING:
            self._check_record(replies)
        elif phase == MemberPhase.FORGOTTEN and not self.rejoining_as:
            self._begin_rejoin(now, replies)
        elif phase == MemberPhase.FORGOTTEN:
            self._finish_rejoin()

    def _is_outdated(self, replies):
        """Whether any member remembers more of this one than its record has."""
        acceptor = self.acceptor
        for status in replies.values():
            remembered = status.remembered_incarnation
            if supersedes(remembered, acceptor.incarnation):
                return True
            if remembered == acceptor.incarnation and status.remembered_vote_count > acceptor.vote_count:
                return True
        return False

    def _check_founding(self, now, replies):
        if not self.consensus.store.is_clean() or not self._is_founded(replies):
            return
        for node, status in replies.items():
            self.acceptor.remember(node, status.incarnation)
        self.acceptor.adopt_members(FIRST_EPOCH, self.founders)
        self._start_voting("founded")

    def _is_founded(self, replies):
        """Whether all are there as founders, or have been: one that votes knows this member as a founder."""
        for status in replies.values():
            if (
                status.phase == MemberPhase.VOTING
                and status.remembered_incarnation == self.acceptor.incarnation
            ):
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
        remembered = [
            status.remembered_incarnation.number
            for status in replies.values()
            if status.phase == MemberPhase.VOTING
        ]
        if len(remembered) < self.acceptor.quorum_size():
            return
        # The process number tells two processes apart that both come back under that number.
        self.rejoining_as = Incarnation(1 + max([*remembered, 0]), self.process_id)
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
        """The phase goes to disk first: else the next start would go by an older record."""
        self.acceptor.phase = MemberPhase.VOTING
        self.rejoining_as = None
        self.reason = reason
        self.consensus.store.start_voting(reason)
