"""Agreement as a part: a member's vote with its disk, and any node's proposals. The package has the seam."""

from collections import deque

import msgpack

from grebedyke import errors
from grebedyke.consensus import records
from grebedyke.consensus.acceptor import (
    CHECKING,
    FORGOTTEN,
    FOUNDING,
    NONE,
    OUT,
    VOTING,
    Acceptor,
    agreeing,
    ballot,
    life,
    newer,
)
from grebedyke.consensus.actions import PersistRecord
from grebedyke.consensus.component import Component
from grebedyke.consensus.delta import difference, patched

FILE = "votes"
MEMBERS = "members"
# Operators change them; each change is settled before the next (see `settle`).
FIRST_EPOCH = 1
# Longer news are told by what has changed: a plan of some hundred machines went to each node at each step.
SHORT = 300
MOST_PATIENCE = 3


def all_lives(lives):
    return {int(v): life(x) for v, x in lives.items()}


class Round:
    """One try of this node to have a key's value changed, under one ballot."""

    def __init__(self, key, b, epoch, members, changes, until):
        self.key, self.ballot, self.epoch, self.members, self.changes = key, b, epoch, members, changes
        self.until, self.promises, self.accepted = until, {}, {}
        self.value, self.results, self.phase = None, [], "p"
        self.base = NONE, None  # what the change was made of, and its ballot

    def quorum(self):
        return len(self.members) // 2 + 1


class Proposal:
    """A change that somebody here wants: change(value) -> (value, result), harmless when it is done again."""

    def __init__(self, change, done, until):
        self.change, self.done, self.until = change, done, until


class Consensus(Component):
    """`process`: a number that no other process has; `founders`: the voters of the first start, by node.

    `wait`: for an answer, in tenths of a millisecond; tries that fail are repeated later each time.
    """

    call_paths = (b"/v1/agreement",)
    record_files = (FILE,)
    controls_exclusions = False

    def __init__(self, chance, fleet, me, nodes, founders, process, wait):
        super().__init__(me)
        self.chance, self.fleet, self.nodes, self.process, self.wait = chance, fleet, nodes, process, wait
        self.voter = Acceptor(me, process)
        self.voter.members, self.voter.epoch = list(founders), 0
        self.founders, self.keys = list(founders), [MEMBERS]
        self.unkept, self.writing = [], None
        self.dirty, self.number, self.failed, self.news_at = False, 0, 0, None
        # How often the time for a round is doubled: learnt where disks or links take longer than `wait`.
        self.patience = 0
        self.wishes, self.rounds, self.retry, self.counter = {}, {}, {}, 0
        self.learned, self.listeners = {}, []  # key -> (ballot, value); who is told of each news
        self.told, self.states, self.next, self.recovering = {}, {}, 0, None
        self.settling, self.why, self.pause = False, "", 0
        self.said = 0

    # What is known.

    @property
    def members(self):
        return self.voter.members

    @property
    def epoch(self):
        return self.voter.epoch

    def quorum_size(self):
        return self.voter.quorum()

    def accepted_value(self, key):
        """The value that this member has accepted last, whether or not it was chosen; None: none yet."""
        register = self.voter.registers.get(key)
        return register[2] if register else None

    def chosen_value(self, key):
        """The newest value that this node knows to be agreed on, None: none yet."""
        return self.learned[key][1] if key in self.learned else None

    def is_voting(self):
        return self.voter.phase == VOTING and self.node_id in self.members

    # The start.

    def restore(self, now, stored_records):
        """Raises errors.ForeignRecordError where the folder is another node's."""
        data = stored_records.get(FILE)
        self.next = now
        if data is None:
            if self.node_id in self.founders:
                # Not a new member for having nothing: all are asked. The mark is kept before it is told,
                # so that a restart in the middle of the founding is still the same founder.
                self.voter.phase, self.voter.life = FOUNDING, (1, self.process)
                self.keep(now)
            return
        try:
            self.voter.recall(records.content(self.fleet, self.node_id, data))
        except errors.CorruptRecordError as problem:
            self.lose(now, f"spoilt: {problem}")
        except errors.ForeignRecordError:
            raise
        except (KeyError, TypeError, ValueError):
            self.lose(now, "of another build")
        else:
            self.log("member", phase=self.voter.phase, why="its file is whole")
            for key, (_, accepted, value) in self.voter.registers.items():
                self.counter = max(self.counter, accepted[0])

    def lose(self, now, why):
        """What this member has said before is not known any more: it says so and does not vote."""
        voter = self.voter
        voter.phase, voter.registers, voter.life = FORGOTTEN, {}, (0, 0)
        self.recovering, self.states, self.told, self.said = None, {}, {}, 0
        self.unkept.clear()
        self.next, self.why = now, why
        self.log("member", phase=FORGOTTEN, why=why)

    def come_back(self, now):
        """Asks the others, at intervals, until this member may vote."""
        voter = self.voter
        if voter.phase in (VOTING, OUT) or now < self.next:
            return
        self.next = now + self.wait + int(self.wait * self.chance.draw())
        others = [v for v in self.members if v != self.node_id]
        if voter.phase == FORGOTTEN and self.recovering:
            for v in others:
                if v not in self.states:
                    self.send(v, ["r", self.recovering])
        for v in others:
            self.send(v, ["w", voter.phase, voter.life, voter.seq, voter.epoch])
        self.weigh(now)

    def weigh(self, now):
        """Whether what the others told is enough."""
        voter = self.voter
        others = [v for v in self.members if v != self.node_id]
        told = {v: self.told[v] for v in others if v in self.told}
        if any(
            newer(mine, voter.life) or mine == voter.life and seq > voter.seq
            for _, _, mine, seq in told.values()
        ) and voter.phase in (FOUNDING, CHECKING):
            return self.lose(now, "an older copy" if voter.phase == CHECKING else "its folder was emptied")
        if voter.phase == FOUNDING and self.writing is None and not self.dirty:
            # Founded when all are there as founders, or when one who votes knows this one as a founder: then
            # all have been.
            if any(phase == VOTING and mine == voter.life for phase, _, mine, _ in told.values()) or (
                len(told) == len(others) and all(phase == FOUNDING for phase, *_ in told.values())
            ):
                for v, (_, its_life, _, _) in told.items():
                    voter.remember(v, its_life)
                voter.adopt(FIRST_EPOCH, self.founders)
                self.vote(now, "founded")
        elif voter.phase == CHECKING:
            whole = [v for v, (phase, *_) in told.items() if phase in (CHECKING, VOTING)]
            if len(whole) + 1 >= voter.quorum():
                self.vote(now, "its file is the newest")
        elif voter.phase == FORGOTTEN and not self.recovering:
            voting = [mine for phase, _, mine, _ in told.values() if phase == VOTING]
            if len(voting) >= voter.quorum():
                # The mark tells two processes apart that would both come back under that number.
                self.recovering = 1 + max([x[0] for x in voting] + [0]), self.process
                self.states, self.next = {}, now
        elif voter.phase == FORGOTTEN and len(self.states) >= voter.quorum():
            voter.merge([(*state, v) for v, state in self.states.items()])
            voter.life, voter.seq = self.recovering, 1
            self.counter = max([self.counter, *(r[0][0] for r in voter.registers.values())])
            self.vote(now, "let in again")

    def vote(self, now, why):
        """Only once that is kept: else the next start would go by an older file."""
        self.voter.phase = VOTING
        self.recovering, self.why = None, why
        self.unkept.append(("vote", why))
        self.keep(now)

    # The disk.

    def keep(self, now):
        """All that is known goes to the disk in one record; one at a time, what comes meanwhile waits."""
        self.dirty = True

    def write(self):
        self.number += 1
        self.news_at = None
        self.dirty, self.writing = False, (self.number, self.unkept, self.voter.life, self.voter.seq)
        self.unkept = []
        return PersistRecord(
            FILE, self.number, records.record(self.fleet, self.node_id, self.voter.kept_form())
        )

    def record_persisted(self, now, file, number, succeeded):
        if file != FILE or self.writing is None or number != self.writing[0]:
            return
        (_, answers, its_life, seq), self.writing = self.writing, None
        if not succeeded:
            self.failed, self.pause = self.failed + 1, now + 4 * self.wait
            if self.voter.phase == FOUNDING:
                self.dirty = True  # nobody has been told anything yet
                return
            # A second sync that succeeds would prove nothing: what was to be kept is lost.
            self.lose(now, "its disk failed")
            self.next = self.pause
            return
        for answer in answers:
            if answer[0] == "vote":
                self.log("member", phase=self.voter.phase, why=answer[1])
            else:
                self.send(*answer)
        if seq > self.said and self.voter.phase == VOTING and its_life == self.voter.life:
            # So that an older copy of this file shows, though no proposal that counted it came through. Only
            # what that record has: with a later number a kill before the next one made the newest file old.
            self.said = seq
            for v in self.members:
                if v != self.node_id:
                    self.send(v, ["h", its_life, seq])

    def answer(self, now, to, message, keep):
        if not keep:
            return self.send(to, message)
        self.unkept.append((to, message))
        self.keep(now)

    # Proposals.

    def propose(self, now, key, change, done, timeout=None):
        """done(now, result): None where it is not known whether it came about; asking again is harmless."""
        until = now + (timeout or 20 * self.wait)
        self.wishes.setdefault(key, deque()).append(Proposal(change, done, until))
        self.retry.setdefault(key, (now, 0))

    def drive_rounds(self, now):
        for key, wishes in list(self.wishes.items()):
            while wishes and wishes[0].until <= now and key not in self.rounds:
                wishes.popleft().done(now, None)
            r = self.rounds.get(key)
            if r and now >= r.until:
                # With the same time again it would never come about where disks are slower than that.
                self.patience = min(self.patience + 1, MOST_PATIENCE)
                self.fail(now, r)
            if wishes and key not in self.rounds and now >= self.retry.get(key, (0, 0))[0]:
                self.begin(now, key, wishes)
            if not wishes and key not in self.rounds:
                del self.wishes[key]
                self.retry.pop(key, None)

    def begin(self, now, key, wishes):
        self.counter += 1
        b = self.counter, self.node_id, self.process
        changes = list(wishes)
        r = self.rounds[key] = Round(
            key,
            b,
            max(self.voter.epoch, FIRST_EPOCH),
            list(self.members),
            changes,
            now + (self.wait << self.patience),
        )
        for v in r.members:
            self.send(v, ["p", key, b, r.epoch, r.members])

    def fail(self, now, r, at_least=0):
        """Later each time, and at a time of its own, or the nodes would go on refusing each other."""
        self.counter = max(self.counter, at_least)
        self.rounds.pop(r.key, None)
        tries = min(self.retry.get(r.key, (0, 0))[1] + 1, 5)
        self.retry[r.key] = now + int(self.wait * 2**tries / 8 * (0.25 + self.chance.draw())), tries

    def promised(self, now, r, by, *vote):
        r.promises[by] = vote
        # Too late: this process may have been stopped since, and what its change rests on is old by now.
        if r.phase != "p" or now >= r.until or not (counted := agreeing(r.promises, r.quorum())):
            return
        _, _, *r.base = max(counted.values(), key=lambda x: x[2])
        value = r.base[1]
        for wish in r.changes:
            value, result = wish.change(value)
            r.results.append(result)
        r.value, r.phase = value, "a"
        for v in r.members:
            self.send(v, ["a", r.key, r.ballot, value, r.epoch, r.members])

    def accepted(self, now, r, by, *vote):
        r.accepted[by] = vote
        if r.phase != "a" or not (counted := agreeing(r.accepted, r.quorum())):
            return
        accepted = {v: (its_life, seq) for v, (its_life, _, seq) in counted.items()}
        del self.rounds[r.key]
        self.retry[r.key] = now, 0
        if now < r.until - (self.wait << self.patience) * 3 // 4:
            self.patience = max(self.patience - 1, 0)
        wishes = self.wishes[r.key]
        for wish in r.changes:
            if wish in wishes:
                wishes.remove(wish)
        self.known(now, r.key, r.ballot, r.value)
        self.spread(r, accepted)
        self.remember(now, accepted)
        for wish, result in zip(r.changes, r.results):
            wish.done(now, result)

    def spread(self, r, accepted):
        """The others hear of it: by what has changed where the whole is long."""
        kind, told = "l", [r.value]
        if len(msgpack.packb(r.value)) > SHORT:
            kind, told = "d", [r.base[0], difference(r.base[1], r.value)]
        for v in range(self.nodes):
            if v != self.node_id:
                news = [self.voter.epoch, self.members, accepted if v in r.members else {}]
                self.send(v, [kind, r.key, r.ballot, *told, *news])

    def remember(self, now, accepted):
        """How far the others are: an older copy of a member's file then shows."""
        news = [self.voter.remember(v, *x) for v, x in accepted.items() if v != self.node_id]
        if any(news) and self.voter.phase == VOTING and self.news_at is None:
            # Together with what comes meanwhile: a write for each word would hold up the votes behind it.
            self.news_at = now + self.wait

    def known(self, now, key, b, value):
        if key in self.learned and b <= self.learned[key][0]:
            return
        self.learned[key] = b, value
        self.counter = max(self.counter, b[0])
        if self.voter.phase == VOTING and self.node_id in self.members and self.voter.learn(key, b, value):
            self.keep(now)
        if key == MEMBERS and value:
            self.adopt_members(now, value["epoch"], value["voters"])
        for listener in self.listeners:
            listener(now, key, value)

    def send_chosen_value(self, now, to, key):
        """What is known here of a key, to a node that knows less."""
        if key in self.learned:
            b, value = self.learned[key]
            self.send(to, ["l", key, b, value, self.voter.epoch, self.members, {}])
        register = self.voter.registers.get(key)
        if (
            register
            and (key not in self.learned or register[1] > self.learned[key][0])
            and not self.wishes.get(key)
        ):
            # Voted for here, and not known to be agreed on: after a restart of all nobody else would ask.
            self.propose(now, key, lambda value: (value, True), lambda now, result: None)

    def adopt_members(self, now, epoch, members):
        if not self.voter.adopt(epoch, members):
            return
        self.log("members", epoch=epoch, members=list(members))
        if self.node_id in members and self.voter.phase == OUT:
            # New among them: like one that has forgotten, it hears all before it votes.
            self.lose(now, "new among the members")
        elif self.node_id not in members and self.voter.phase != OUT:
            self.voter.phase = OUT
        if self.voter.phase == VOTING:
            self.keep(now)

    # Members, one change at a time.

    def member(self, now, node, add, done):
        """Adds or takes out one voter; done(now, None or a word)."""

        def change(value):
            value = value or {"epoch": FIRST_EPOCH, "voters": self.founders, "settled": True}
            voters = sorted({*value["voters"], node} if add else {*value["voters"]} - {node})
            if voters == value["voters"]:
                return value, "as it was"
            if not value["settled"]:
                return value, "refused: the last change is not settled yet"
            if not voters:
                return value, "refused: no voter would be left"
            return {"epoch": value["epoch"] + 1, "voters": voters, "settled": False}, "done"

        self.propose(now, MEMBERS, change, done)

    def settle(self, now):
        """All values once more by the new members: only then do two changes' majorities still meet.

        Any voter does it, by turns, so that it is done though who asked for the change has died.
        """
        value = self.chosen_value(MEMBERS)
        if not value or value["settled"] or self.settling or not self.is_voting():
            return
        self.settling, left, epoch = True, [k for k in self.keys if k != MEMBERS], value["epoch"]

        def next_one(now, result):
            if result is None or self.voter.epoch != epoch:
                self.settling = False
            elif left:
                self.propose(now, left.pop(), lambda value: (value, True), next_one)
            else:
                self.propose(now, MEMBERS, settled, lambda now, result: setattr(self, "settling", False))

        def settled(value):
            return ({**value, "settled": True}, True) if value["epoch"] == epoch else (value, False)

        next_one(now, True)

    # What comes in.

    def receive(self, now, sender, message):
        kind, *rest = message
        if not isinstance(kind, str) or kind not in self.TAKE:
            return False
        self.handle_fields(self.TAKE[kind].__get__(self), now, sender, rest)
        return True

    def on_prepare(self, now, by, key, b, epoch, members):
        self.answer(now, by, *self.voter.prepare(str(key), ballot(b), int(epoch), [int(v) for v in members]))

    def on_accept(self, now, by, key, b, value, epoch, members):
        self.answer(
            now, by, *self.voter.accept(str(key), ballot(b), value, int(epoch), [int(v) for v in members])
        )

    def on_promised(self, now, by, key, b, its_life, lives, accepted, value):
        if (r := self.rounds.get(key)) and r.ballot == ballot(b) and by in r.members:
            self.promised(now, r, by, life(its_life), all_lives(lives), ballot(accepted), value)

    def on_accepted(self, now, by, key, b, its_life, lives, seq):
        if (r := self.rounds.get(key)) and r.ballot == ballot(b) and by in r.members:
            self.accepted(now, r, by, life(its_life), all_lives(lives), int(seq))

    def on_refused(self, now, by, key, b, why, promised, epoch, members):
        self.adopt_members(now, int(epoch), [int(v) for v in members])
        r = self.rounds.get(key)
        if r and r.ballot == ballot(b) and why in ("promised", "members"):
            self.fail(now, r, ballot(promised)[0])

    def on_learn(self, now, by, key, b, value, epoch, members, accepted):
        self.adopt_members(now, int(epoch), [int(v) for v in members])
        self.known(now, str(key), ballot(b), value)
        self.remember(now, {int(v): (life(x), int(seq)) for v, (x, seq) in accepted.items()})

    def on_change(self, now, by, key, b, base, change, epoch, members, accepted):
        """Only onto the very value that it was made of; who has another asks for the whole."""
        key, b, register = str(key), ballot(b), self.voter.registers.get(str(key))
        if key in self.learned and self.learned[key][0] == ballot(base):
            self.on_learn(now, by, key, b, patched(self.learned[key][1], change), epoch, members, accepted)
        elif register and register[1] == b:
            self.on_learn(now, by, key, b, register[2], epoch, members, accepted)
        elif key not in self.learned or self.learned[key][0] < b:
            self.send(by, ["?", key])

    def on_asked(self, now, by, key):
        self.send_chosen_value(now, by, str(key))

    def on_vote(self, now, by, its_life, seq):
        if by in self.members:
            self.remember(now, {by: (life(its_life), int(seq))})

    def on_who(self, now, by, phase, its_life, seq, epoch):
        voter = self.voter
        known, seen = voter.lives.get(by, (0, 0)), voter.seqs.get(by, 0)
        self.send(by, ["W", voter.phase, voter.life, known, seen, voter.epoch, self.members])

    def on_told(self, now, by, phase, its_life, mine, seq, epoch, members):
        self.adopt_members(now, int(epoch), [int(v) for v in members])
        self.told[by] = str(phase), life(its_life), life(mine), int(seq)
        if self.recovering and newer(life(mine), self.recovering):
            self.recovering = None  # refused: another process has come back as that one
        self.weigh(now)

    def on_recover(self, now, by, its_life):
        if by in self.members:
            self.answer(now, by, *self.voter.recover(by, life(its_life)))

    def on_state(self, now, by, mine, its_life, lives, epoch, members, registers, seq=0, seqs=None):
        if self.recovering != life(mine) or self.voter.phase != FORGOTTEN or by not in self.members:
            return
        self.states[by] = (
            life(its_life),
            all_lives(lives),
            int(epoch),
            [int(v) for v in members],
            {str(k): (ballot(p), ballot(a), v) for k, (p, a, v) in registers.items()},
            int(seq),
            {int(v): int(n) for v, n in (seqs or {}).items()},
        )
        self.weigh(now)

    TAKE = {
        "p": on_prepare,
        "a": on_accept,
        "P": on_promised,
        "A": on_accepted,
        "n": on_refused,
        "l": on_learn,
        "w": on_who,
        "W": on_told,
        "r": on_recover,
        "R": on_state,
        "h": on_vote,
        "d": on_change,
        "?": on_asked,
    }

    def operator_call(self, now, call, method, path, body):
        words = path.decode("latin-1").strip("/").split("/")[2:]
        if not words and method == b"GET":
            return self.answer_call(call, 200, self.state())
        if len(words) == 2 and words[0] in ("add", "remove") and words[1].isdigit() and method == b"POST":
            node = int(words[1])
            if node >= self.nodes:
                return self.answer_call(call, 404, f"there is no node {node}")

            def done(now, result):
                status = 503 if result is None else 409 if result.startswith("refused") else 200
                doubt = "no majority answers; it may come about all the same, asking again is harmless"
                self.answer_call(call, status, result or doubt)

            return self.member(now, node, words[0] == "add", done)
        self.answer_call(call, 404, "no such call")

    def state(self):
        voter = self.voter
        return {
            "phase": voter.phase,
            "why": self.why,
            "life": voter.life[0],
            "epoch": voter.epoch,
            "members": self.members,
            "odd": self.undecodable_count,
            "disk_failures": self.failed,
        }

    # What goes out.

    def next_action(self, now):
        if not self.pending_actions:
            self.come_back(now)
            self.settle(now)
            self.drive_rounds(now)
        if (action := self.next_pending_action(now)) is not None:
            return action
        due = self.dirty or self.news_at is not None and now >= self.news_at
        if due and self.writing is None and now >= self.pause:
            return self.write()
        return self.schedule_wake(now, self.next_time(now))

    def next_time(self, now):
        times = [r.until for r in self.rounds.values()]
        times += [
            self.retry.get(key, (now, 0))[0] for key, w in self.wishes.items() if key not in self.rounds and w
        ]
        if self.voter.phase not in (VOTING, OUT):
            times.append(self.next)
        if self.writing is None and (self.dirty or self.news_at is not None):
            times.append(max(self.pause, 0 if self.dirty else self.news_at))
        return min(times) if times else None
