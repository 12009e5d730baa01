"""The members, changed one at a time by consensus on a key of its own."""

from grebedyke.consensus.acceptor import MemberPhase

MEMBERS = "members"
"""The key under which the members are agreed on; its value has `epoch`, `voters` and `settled`."""
FIRST_EPOCH = 1
"""The epoch of the founders, the members of the first start."""


class Membership:
    """Follows, changes and settles the set of members.

    After a change all values are chosen once more by the new members, the change is settled. Only then may
    the next one begin: majorities of sets two changes apart need not meet.

    Attributes:
        is_settling: Whether this node is settling a change.
    """

    def __init__(self, consensus, founders):
        self.consensus = consensus
        self.acceptor = consensus.acceptor
        self.founders = list(founders)
        self.is_settling = False

    def adopt(self, now, epoch, members):
        """Takes over members that were agreed on, if they are newer than those known."""
        if not self.acceptor.adopt_members(epoch, members):
            return
        self.consensus.log("members", epoch=epoch, members=list(members))
        is_member = self.acceptor.node_id in members
        if is_member and self.acceptor.phase == MemberPhase.OUT:
            # Like a member that has forgotten, it must hear what the others know before it votes.
            self.consensus.recovery.forget(now, "new among the members")
        elif not is_member and self.acceptor.phase != MemberPhase.OUT:
            self.acceptor.phase = MemberPhase.OUT
        if self.acceptor.phase == MemberPhase.VOTING:
            self.consensus.store.mark_dirty()

    def change_member(self, now, node, is_added, done):
        """Adds or removes one member; done(now, result) with a line for the operator, None where in doubt."""

        def change(value):
            """Returns the members after the change, and a line for the operator."""
            value = value or {"epoch": FIRST_EPOCH, "voters": self.founders, "settled": True}
            voters = sorted({*value["voters"], node} if is_added else {*value["voters"]} - {node})
            if voters == value["voters"]:
                return value, "as it was"
            if not value["settled"]:
                return value, "refused: the last change is not settled yet"
            if not voters:
                return value, "refused: no voter would be left"
            return {"epoch": value["epoch"] + 1, "voters": voters, "settled": False}, "done"

        self.consensus.propose(now, MEMBERS, change, done)

    def settle(self, now):
        """Has all values chosen once more by the new members, one after the other.

        Every voter does so, whether or not it asked for the change: that node may have died.
        """
        value = self.consensus.chosen_value(MEMBERS)
        if not value or value["settled"] or self.is_settling or not self.acceptor.is_voting():
            return
        self.is_settling = True
        remaining = [key for key in self.consensus.keys if key != MEMBERS]
        self._settle_next(now, value["epoch"], remaining)

    def _settle_next(self, now, epoch, remaining):
        def confirm(value):
            """Has a value chosen once more as it is."""
            return value, True

        def mark_settled(value):
            """Marks this epoch's change as settled, unless a later change was chosen."""
            if value["epoch"] != epoch:
                return value, False
            return {**value, "settled": True}, True

        def confirmed(now, result):
            """Goes on with the next key, or gives up for now where no majority answered."""
            if result is None:
                self.is_settling = False
            else:
                self._settle_next(now, epoch, remaining)

        def settled(now, result):
            """Lets a later call begin anew."""
            self.is_settling = False

        if self.acceptor.epoch != epoch:
            self.is_settling = False
        elif remaining:
            self.consensus.propose(now, remaining.pop(), confirm, confirmed)
        else:
            self.consensus.propose(now, MEMBERS, mark_settled, settled)
