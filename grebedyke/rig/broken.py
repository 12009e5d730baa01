"""Builds that are broken on purpose, one fault each: what judges has to catch every one of them.

Each is a list of (class, name, what stands there instead). None is ever used by a node.
"""

from contextlib import contextmanager

from grebedyke import errors
from grebedyke.consensus import acceptor, messages, proposer, records
from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.consensus.ballots import Incarnation
from grebedyke.consensus.component import Component
from grebedyke.consensus.proposer import Round
from grebedyke.consensus.recovery import Recovery
from grebedyke.consensus.vote_store import VoteStore
from grebedyke.maintenance import maintenance as maintenance_part
from grebedyke.maintenance import rollout
from grebedyke.maintenance.maintenance import Maintenance
from grebedyke.rate_limits import allocation, definitions, limiter
from grebedyke.rate_limits.component import RateLimits


def answer_at_once(self, node, answer):
    self.consensus.send_message(node, answer.message)
    if answer.needs_persisting:
        self.mark_dirty()


def from_the_answer(self, now, by, number, yes, epoch, members):
    if number in self.asks:
        self.asks[number].sent = now
    honest["granted"](self, now, by, number, yes, epoch, members)


def any_board(self, now, by, number, rev, agreed, process, epoch):
    self.acks[by] = int(agreed), int(process), now
    self.send(by, ["M", number, True, self.agreement.epoch, self.agreement.members])


def as_a_new_member(self, now, data):
    """A file that is not there, or spoilt, is that of a new member."""
    try:
        known = data is not None and records.decode(self.consensus.fleet, self.acceptor.node_id, data)
    except errors.CorruptRecordError:
        known = None
    if known or self.acceptor.node_id not in self.founders:
        return honest["restore"](self, now, data)
    self.next_query_at = now
    self.acceptor.phase = acceptor.Phase.VOTING
    self.acceptor.incarnation = Incarnation(1, 1)
    self.acceptor.epoch = 1
    self.consensus.store.mark_dirty()


def any_number(board_, name, number):
    state = board_["at"].get(name, [None])[0] if board_ and board_["plan"] else None
    if state in (rollout.FREE, rollout.FAILED):
        return rollout.put(board_, name, rollout.BACK), f"{name}: {rollout.BACK}"
    return honest["by_word"](board_, name, number)


def no_quorum_of_incarnations(votes, quorum_size):
    return votes if len(votes) >= quorum_size else None


def without_vote_counts(self, node, incarnation):
    """Only which incarnation each of the others is in."""
    answer = honest["admit"](self, node, incarnation)
    if not isinstance(answer.message, messages.RejoinState):
        return answer
    return answer._replace(message=answer.message._replace(vote_count=0, vote_counts={}))


honest = {
    "admit": acceptor.Acceptor.admit,
    "granted": Maintenance.granted,
    "restore": Recovery.restore,
    "by_word": rollout.by_word,
}

BUILDS = {
    "a vote is answered before it is kept": [(VoteStore, "answer", answer_at_once)],
    "half is taken for a majority": [(Round, "quorum_size", lambda self: max(len(self.members) // 2, 1))],
    "a lease is reckoned from the answer": [(Maintenance, "granted", from_the_answer)],
    "no drift": [(Maintenance, "bound", lambda self: int(self.lease * (1 - 2 * self.drift)))],
    "numbers are not compared": [(rollout, "by_word", any_number)],
    "a spoilt file is taken for a new member's": [(Recovery, "restore", as_a_new_member)],
    "back is taken for warm": [(Maintenance, "is_warm", lambda self, now, name, pair: True)],
    "losses without a plan are not counted": [(Maintenance, "away", lambda self, rows, board_: ({}, {}, 0))],
    "a lease is given to whoever asks": [(Maintenance, "asked", any_board)],
    "who is not sure uses what waits": [(rollout, "UNSURE", rollout.OUT)],
    "votes of past lives count": [(proposer, "consistent_votes", no_quorum_of_incarnations)],
    "who is let in again does not hear how far the others are": [
        (acceptor.Acceptor, "admit", without_vote_counts)
    ],
    "who has just begun uses all": [(maintenance_part.Maintenance, "apply", None)],
}


def begins_seeing(self, now):
    known = self.sure(now)
    names = rollout.machines_in(self.board, rollout.OUT if known else rollout.UNSURE)
    names = frozenset(names)
    if (names, False) != self.shown:
        self.shown = names, False
        self.pending_actions.append(ExcludeEndpoints(names, False))
    self.watched_endpoints = names
    self.leaving_since = {name: self.leaving_since.get(name, now) for name in names}


BUILDS["who has just begun uses all"] = [(Maintenance, "apply", begins_seeing)]


# Limits.


def granted_from_the_answer(self, now, by, number, term, other, given):
    if number in self.asks:
        self.asks[number] = now
    honest_limits["granted"](self, now, by, number, term, other, given)


def added(self, now, share, until):
    self.share, self.until = self.share + share, until


def added_to_a_bucket(self, now, share, until):
    self.advance(now)
    added(self, now, share, until)


def the_last_only(self):
    self.held = max([amount for _, amount, _ in [*self.grants][-1:]] + [self.used])
    return self.held


def nothing_runs_on(self, kind, total, floor, often, ends, hold):
    honest_limits["books"](self, kind, total, floor, often, ends, 0)


def as_it_was(self, *args):
    """A limit that has shrunk is not withdrawn."""


def from_the_first_moment(self, now):
    return self.used < self.limit.floor + self.held(now)


def full_at_first(self, limit, nodes, drift, hold, lease, now):
    honest_limits["bucket"](self, limit, nodes, drift, hold, lease, now)
    self.level = limit.burst / nodes


honest_limits = {
    "granted": RateLimits.granted,
    "books": allocation.Books.__init__,
    "bucket": limiter.Bucket.__init__,
}

LIMITS = {
    "a share is reckoned from the answer": [(RateLimits, "granted", granted_from_the_answer)],
    "no drift in shares": [
        (RateLimits, "ends", lambda self: int(self.lease * (1 - 2 * self.drift))),
        (RateLimits, "wait", lambda self, kind=None: int(2 * self.lease * (1 - 2 * self.drift))),
    ],
    "floors are not counted": [
        (definitions, "pool", lambda size, floor, nodes: size),
        (limiter, "pool", lambda size, floor, nodes: size),
    ],
    "a new holder does not wait": [(RateLimits, "wait", lambda self, kind=None: 0)],
    "a holder whose place has ended grants on": [(RateLimits, "sure", lambda self, now: self.holds())],
    "a grant that comes again is added": [
        (limiter.Meter, "given", added),
        (limiter.Bucket, "given", added_to_a_bucket),
    ],
    "a shrunk limit is not withdrawn": [
        (
            RateLimits,
            "lay_books",
            lambda self, now, anew=False: anew and honest_limits["lay"](self, now, anew),
        ),
        (
            limiter.Meter,
            "retune",
            lambda self, limit, now: hasattr(self, "limit") or honest_limits["retune"](self, limit, now),
        ),
    ],
    "the newest grant is taken as received": [(allocation.Entry, "reckon", the_last_only)],
    "what a dead node sent is taken as ended": [(allocation.Books, "__init__", nothing_runs_on)],
    "a node's own slots are used from its first moment": [(limiter.Slots, "room", from_the_first_moment)],
    "a bucket begins full": [(limiter.Bucket, "__init__", full_at_first)],
}
honest_limits |= {"lay": RateLimits.lay_books, "retune": limiter.Meter.retune}


# At scale: each of them keeps every promise, and costs many times what it should.


def answered_to_all(self, now, by, number, rev, agreed, process, epoch):
    """Its answer goes to every node instead of to the one that asked."""
    send, self.send = (
        self.send,
        lambda to, message: [
            Component.send(self, v, message) for v in (range(self.nodes) if message[0] == "M" else [to])
        ],
    )
    try:
        honest["asked"](self, now, by, number, rev, agreed, process, epoch)
    finally:
        self.send = send


def asks_kept_for_ever(self, now):
    asks = dict(self.asks)
    honest["ask"](self, now)
    self.asks = {**asks, **self.asks}


def asked_again_at_once(self, now):
    """Whoever has had no answer 2 ms later asks again, and again."""
    before = self.number
    honest_limits["ask"](self, now)
    if self.number > before:
        self.next = now + 20


def answered_in_time(self, now, by, number, term, other, given):
    honest_limits["granted"](self, now, by, number, term, other, given)
    self.next = now + self.lease // 3


honest |= {"asked": Maintenance.asked, "ask": Maintenance.ask}
honest_limits |= {"ask": RateLimits.ask}

SCALE = {
    "an answer to all instead of to one": [(Maintenance, "asked", answered_to_all)],
    "asks are never dropped": [(Maintenance, "ask", asks_kept_for_ever)],
    "asked again without back-off": [
        (RateLimits, "ask", asked_again_at_once),
        (RateLimits, "granted", answered_in_time),
    ],
}


@contextmanager
def build(name):
    """Within it that build is the one that runs."""
    changes = (BUILDS | LIMITS | SCALE)[name]
    before = [(where, attribute, getattr(where, attribute)) for where, attribute, _ in changes]
    try:
        for where, attribute, instead in changes:
            setattr(where, attribute, instead)
        yield
    finally:
        for where, attribute, was in before:
            setattr(where, attribute, was)
