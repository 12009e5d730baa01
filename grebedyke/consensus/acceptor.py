"""One member's vote: what it has promised and accepted, and what it remembers of the other members. No I/O.

Single-value registers without a log (CASPaxos, Rystsov 2018), one for each key. A member that has forgotten
counts again only as another life of its own: each vote says which lives of the others the voter knows, and
who counts a majority leaves out a vote of a life that another of them knows to be past (the crash vectors of
Michael et al., "Recovering Shared Objects Without Stable Storage", DISC 2017).
"""

NONE = (0, 0, 0)  # under all ballots: (counter, node, the proposing process's own number)
# Where a member stands. Only `voting` votes. blank: it has just begun; founding: the first start of all;
# checking: its file is whole, the others are asked if it is the newest; forgotten: it is not, or is gone.
OUT, FOUNDING, CHECKING, FORGOTTEN, VOTING = "out", "founding", "checking", "forgotten", "voting"


def ballot(value):
    """A ballot as it came over the net."""
    counter, node, process = value
    return int(counter), int(node), int(process)


def life(value):
    """A life: (number, a mark that no other process has)."""
    number, mark = value
    return int(number), int(mark)


def newer(a, b):
    """Whether remembering life `a` shows that `b` is of the past: a higher number, or another of the same."""
    return a[0] > b[0] or a[0] == b[0] and a[1] != b[1]


def agreeing(votes, quorum):
    """The votes that count together, by voter, if they are enough: (life, others' lives known to it, ...).

    A vote whose life another voter knows to be past is of a member that has forgotten it since.

    >>> agreeing({1: ((1, 5), {2: (1, 6)}), 2: ((1, 6), {1: (2, 7)})}, 2)
    >>> sorted(agreeing({1: ((2, 7), {}), 2: ((1, 6), {1: (2, 7)})}, 2))
    [1, 2]
    """
    standing = {
        v: vote
        for v, vote in votes.items()
        if not any(newer(other[1].get(v, (0, 0)), vote[0]) for other in votes.values())
    }
    return standing if len(standing) >= quorum else None


class Acceptor:
    def __init__(self, me, mark):
        self.me, self.mark, self.phase = me, mark, OUT
        # seq: grows with each vote; others remember it, so that an older copy of the file shows.
        self.life, self.seq = (0, 0), 0
        self.lives, self.seqs = {}, {}  # of the other members, by node
        self.epoch, self.members = 0, []
        self.registers = {}  # key -> [promised, accepted, value]

    def quorum(self):
        return len(self.members) // 2 + 1

    # What is kept.

    def kept_form(self):
        return {
            "phase": self.phase,
            "life": self.life,
            "seq": self.seq,
            "epoch": self.epoch,
            "members": self.members,
            "lives": self.lives,
            "seqs": self.seqs,
            "registers": self.registers,
        }

    def recall(self, kept):
        """Goes on where the file says; whether that is the newest the others have to tell."""
        self.life, self.seq = life(kept["life"]), kept["seq"]
        self.epoch, self.members = kept["epoch"], list(kept["members"])
        self.lives = {v: life(x) for v, x in kept["lives"].items()}
        self.seqs = dict(kept["seqs"])
        self.registers = {
            key: [ballot(p), ballot(a), value] for key, (p, a, value) in kept["registers"].items()
        }
        self.phase = FOUNDING if kept["phase"] == FOUNDING else CHECKING

    # Members.

    def adopt(self, epoch, members):
        """Members that were agreed on; True where that is news."""
        if epoch <= self.epoch:
            return False
        self.epoch, self.members = epoch, list(members)
        return True

    def remember(self, node, its_life, seq=0):
        """True where that changes what would be answered of that member."""
        known = self.lives.get(node, (0, 0))
        if its_life[0] > known[0]:
            self.lives[node], self.seqs[node] = its_life, seq
            return True
        if its_life == known and seq > self.seqs.get(node, 0):
            self.seqs[node] = seq
            return True
        return False

    # Votes. Each gives (message, whether it has to be kept before it is sent).

    def prepare(self, key, b, epoch, members):
        if refused := self.refuse(key, b, epoch, members):
            return refused, False
        register = self.registers.setdefault(key, [NONE, NONE, None])
        if b < register[0]:
            return ["n", key, b, "promised", register[0], self.epoch, self.members], False
        if b > register[0]:
            register[0], self.seq = b, self.seq + 1
        return ["P", key, b, self.life, dict(self.lives), register[1], register[2]], True

    def accept(self, key, b, value, epoch, members):
        if refused := self.refuse(key, b, epoch, members):
            return refused, False
        register = self.registers.setdefault(key, [NONE, NONE, None])
        if b < register[0]:
            return ["n", key, b, "promised", register[0], self.epoch, self.members], False
        if b > register[1]:
            register[:], self.seq = [b, b, value], self.seq + 1
        return ["A", key, b, self.life, dict(self.lives), self.seq], True

    def refuse(self, key, b, epoch, members):
        if self.phase != VOTING:
            return ["n", key, b, "no vote", NONE, self.epoch, self.members]
        if epoch < self.epoch:
            return ["n", key, b, "members", NONE, self.epoch, self.members]
        self.adopt(epoch, members)
        return None if self.me in self.members else ["n", key, b, "no member", NONE, self.epoch, self.members]

    def learn(self, key, b, value):
        """A value that was agreed on; True where it is news here. A promise of a later ballot stands."""
        register = self.registers.setdefault(key, [NONE, NONE, None])
        if b <= register[1]:
            return False
        register[:] = [max(register[0], b), b, value]
        return True

    # Coming back.

    def recover(self, by, its_life):
        """A member that has forgotten asks to be let in as that life: all that is known here, or why not."""
        known = self.lives.get(by, (0, 0))
        if self.phase != VOTING or newer(known, its_life):
            return ["W", self.phase, self.life, known, self.seqs.get(by, 0), self.epoch, self.members], False
        self.remember(by, its_life)
        known = [self.lives, self.epoch, self.members, self.registers, self.seq, self.seqs]
        return ["R", its_life, self.life, *known], True

    def merge(self, states):
        """Out of what a majority of the others told: at least what this member had promised and accepted.

        Source of the argument: docs/agreement.md.
        """
        self.registers = {}
        for its_life, lives, epoch, members, registers, seq, seqs, by in states:
            # How far they are too: an older copy of one of them must not show to nobody for this one's loss.
            self.remember(by, its_life, seq)
            for v, x in lives.items():
                if v != self.me:
                    self.remember(v, x, seqs.get(v, 0))
            self.adopt(epoch, members)
            for key, (promised, accepted, value) in registers.items():
                mine = self.registers.setdefault(key, [NONE, NONE, None])
                mine[0] = max(mine[0], promised, accepted)
                if accepted > mine[1]:
                    mine[1], mine[2] = accepted, value
