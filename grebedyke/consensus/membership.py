"""The set of members, changed one member at a time by consensus on its own key."""

from grebedyke.consensus.acceptor import MemberPhase

MEMBERS_KEY = "members"
"""The key of the members' register; its value has the fields `epoch`, `voters` and `settled`."""
FIRST_EPOCH = 1
"""The epoch of the founders, the members at the first start."""


class Membership:
    """Tracks, changes and settles the set of members.

    A change is settled once the new members have chosen all values again. The next change may begin only
    then, as majorities of two sets that are two changes apart need not overlap.

    Attributes:
        founders: The members at the first start.
        is_settling: Whether this node is settling a change.
    """

    def __init__(self, consensus, founders):
        self.consensus = consensus
        self.acceptor = consensus.acceptor
        self.founders = list(founders)
        self.is_settling = False

    def adopt(self, now, epoch, members):
        """Adopts a chosen set of members if it is newer than the known one."""
        if not self.acceptor.adopt_members(epoch, members):
            return
        self.consensus.log("members", epoch=epoch, members=list(members))
        is_member = self.acceptor.node_id in members
        if is_member and self.acceptor.phase == MemberPhase.OUT:
            # Like a member that has lost its state, it must get the others' state before it votes.
            self.consensus.recovery.discard_state(now, "new among the members")
        elif not is_member and self.acceptor.phase != MemberPhase.OUT:
            self.acceptor.phase = MemberPhase.OUT
        if self.acceptor.phase == MemberPhase.VOTING:
            self.consensus.store.mark_dirty()

    def change_member(self, now, node, is_added, done):
        """Adds or removes a member; calls done(now, result) with a text for the operator, None if unknown."""

        def change(value):
            """Returns the members after the change and a text for the operator."""
            value = value or {"epoch": FIRST_EPOCH, "voters": self.founders, "settled": True}
            voters = sorted({*value["voters"], node} if is_added else {*value["voters"]} - {node})
            if voters == value["voters"]:
                return value, "as it was"
            if not value["settled"]:
                return value, "refused: the last change is not settled yet"
            if not voters:
                return value, "refused: no voter would be left"
            return {"epoch": value["epoch"] + 1, "voters": voters, "settled": False}, "done"

        self.consensus.propose(now, MEMBERS_KEY, change, done)

    def settle(self, now):
        """Has the new members choose all values again, one after the other.

        Every voter does this, not only the node that proposed the change, as that node may have failed.
        """
        value = self.consensus.chosen_value(MEMBERS_KEY)
        if not value or value["settled"] or self.is_settling or not self.acceptor.is_voting():
            return
        self.is_settling = True
        remaining = [key for key in self.consensus.keys if key != MEMBERS_KEY]
        self._settle_next(now, value["epoch"], remaining)

    def _settle_next(self, now, epoch, remaining):
        def confirm(value):
            """Keeps the value, so that it is chosen again unchanged."""
            return value, True

        def mark_settled(value):
            """Marks the change of this epoch as settled, unless a later change was chosen."""
            if value["epoch"] != epoch:
                return value, False
            return {**value, "settled": True}, True

        def confirmed(now, result):
            """Continues with the next key; if no majority answered, a later `settle` starts again."""
            if result is None:
                self.is_settling = False
            else:
                self._settle_next(now, epoch, remaining)

        def settled(now, result):
            """Ends this run; a later `settle` repeats it if the change is still not settled."""
            self.is_settling = False

        if self.acceptor.epoch != epoch:
            self.is_settling = False
        elif remaining:
            self.consensus.propose(now, remaining.pop(), confirm, confirmed)
        else:
            self.consensus.propose(now, MEMBERS_KEY, mark_settled, settled)
