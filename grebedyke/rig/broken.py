"""Builds that are broken on purpose, one fault each: what judges has to catch every one of them.

Each is a list of (class, name, what stands there instead). None is ever used by a node.
"""

from contextlib import contextmanager

from grebedyke import errors
from grebedyke.consensus import acceptor, consensus, records
from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.consensus.component import Component
from grebedyke.consensus.consensus import Consensus, Round
from grebedyke.maintenance import maintenance as maintenance_part
from grebedyke.maintenance import rollout
from grebedyke.maintenance.maintenance import Maintenance
from grebedyke.rate_limits import definitions
from grebedyke.rate_limits.allocation import Allocation, AllocationTable
from grebedyke.rate_limits.concurrency_limiter import ConcurrencyLimiter
from grebedyke.rate_limits.holder_election import HolderElection
from grebedyke.rate_limits.lease_holder import LeaseHolder
from grebedyke.rate_limits.lease_terms import LeaseTerms
from grebedyke.rate_limits.limit_meter import LimitMeter
from grebedyke.rate_limits.share_client import ShareClient
from grebedyke.rate_limits.token_bucket import TokenBucket


def answer_at_once(self, now, to, message, keep):
    self.send(to, message)
    if keep:
        self.keep(now)


def from_the_answer(self, now, by, number, yes, epoch, members):
    if number in self.asks:
        self.asks[number].sent = now
    honest["granted"](self, now, by, number, yes, epoch, members)


def any_board(self, now, by, number, rev, agreed, process, epoch):
    self.acks[by] = int(agreed), int(process), now
    self.send(by, ["M", number, True, self.agreement.epoch, self.agreement.members])


def as_a_new_member(self, now, stored_records):
    """A file that is not there, or spoilt, is that of a new member."""
    data = stored_records.get(consensus.FILE)
    try:
        known = data is not None and records.content(self.fleet, self.node_id, data)
    except errors.CorruptRecordError:
        known = None
    if known or self.node_id not in self.founders:
        return honest["restore"](self, now, stored_records)
    self.next, self.voter.phase, self.voter.life, self.voter.epoch = now, acceptor.VOTING, (1, 1), 1
    self.keep(now)


def any_number(board_, name, number):
    state = board_["at"].get(name, [None])[0] if board_ and board_["plan"] else None
    if state in (rollout.FREE, rollout.FAILED):
        return rollout.put(board_, name, rollout.BACK), f"{name}: {rollout.BACK}"
    return honest["by_word"](board_, name, number)


def no_quorum_of_lives(votes, quorum):
    return votes if len(votes) >= quorum else None


def not_how_far(self, by, its_life):
    """Only which life each of the others is in."""
    answer, keep = honest["recover"](self, by, its_life)
    return ([*answer[:7], 0, {}] if answer[0] == "R" else answer), keep


honest = {
    "recover": acceptor.Acceptor.recover,
    "granted": Maintenance.granted,
    "restore": Consensus.restore,
    "by_word": rollout.by_word,
}

BUILDS = {
    "a vote is answered before it is kept": [(Consensus, "answer", answer_at_once)],
    "half is taken for a majority": [(Round, "quorum", lambda self: max(len(self.members) // 2, 1))],
    "a lease is reckoned from the answer": [(Maintenance, "granted", from_the_answer)],
    "no drift": [(Maintenance, "bound", lambda self: int(self.lease * (1 - 2 * self.drift)))],
    "numbers are not compared": [(rollout, "by_word", any_number)],
    "a spoilt file is taken for a new member's": [(Consensus, "restore", as_a_new_member)],
    "back is taken for warm": [(Maintenance, "is_warm", lambda self, now, name, pair: True)],
    "losses without a plan are not counted": [(Maintenance, "away", lambda self, rows, board_: ({}, {}, 0))],
    "a lease is given to whoever asks": [(Maintenance, "asked", any_board)],
    "who is not sure uses what waits": [(rollout, "UNSURE", rollout.OUT)],
    "votes of past lives count": [(consensus, "agreeing", no_quorum_of_lives)],
    "who is let in again does not hear how far the others are": [(acceptor.Acceptor, "recover", not_how_far)],
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

_receive_grant = ShareClient.receive_grant
_begin_table = AllocationTable.__init__
_begin_bucket = TokenBucket.__init__
_request_if_due = ShareClient.request_if_due


def lease_from_the_answer(self, now, grant):
    """A share's lease begins when its grant arrives instead of when it was requested."""
    if grant.number in self._pending:
        self._pending[grant.number] = now
    _receive_grant(self, now, grant)


def add_share(self, now, share, expires_at):
    """A share is added to the one before instead of replacing it."""
    self.share = self.share + share
    self.share_expires_at = expires_at


def add_share_to_bucket(self, now, share, expires_at):
    """The same, where the bucket has to be filled first."""
    self._refill(now)
    add_share(self, now, share, expires_at)


def charge_for_newest_grant(self):
    """The newest grant is taken as received, though it may be lost or under way."""
    newest = [grant.amount for grant in [*self.grants][-1:]]
    self.charged = max([*newest, self.in_use])
    return self.charged


def forget_what_runs_on(self, kind, total, floor, times):
    """What a dead node sent is taken as ended when its last grant has."""
    _begin_table(self, kind, total, floor, times._replace(run_on=0))


def keep_former_limit(self, *arguments):
    """A limit that has shrunk stays in force."""


def use_floor_at_once(self, now):
    """A process uses its floor while what a former one admitted may still run."""
    return self.in_flight < self.limit.floor + self.active_share(now)


def begin_with_full_bucket(self, limit, terms, now):
    """A process begins with its part of the burst."""
    _begin_bucket(self, limit, terms, now)
    self.tokens = limit.burst / terms.node_count


def duration_without_drift(duration, clock_drift):
    """The bound is too short by as much as it should be longer."""
    return int(duration * (1 - 2 * clock_drift))


LIMITS = {
    "a share is reckoned from the answer": [(ShareClient, "receive_grant", lease_from_the_answer)],
    "no drift in shares": [
        (
            LeaseTerms,
            "grant_bound",
            lambda self: duration_without_drift(self.lease, self.clock_drift),
        ),
        (
            LeaseTerms,
            "takeover_wait",
            lambda self, kind=None: duration_without_drift(2 * self.lease, self.clock_drift),
        ),
    ],
    "floors are not counted": [(definitions, "grantable_amount", lambda size, floor, node_count: size)],
    "a new holder does not wait": [(LeaseTerms, "takeover_wait", lambda self, kind=None: 0)],
    "a holder whose place has ended grants on": [
        (HolderElection, "is_certain_holder", lambda self, now: self.is_holder())
    ],
    "a grant that comes again is added": [
        (LimitMeter, "receive_share", add_share),
        (TokenBucket, "receive_share", add_share_to_bucket),
    ],
    "a shrunk limit is not withdrawn": [
        (LeaseHolder, "update_tables", keep_former_limit),
        (LimitMeter, "change_limit", keep_former_limit),
    ],
    "the newest grant is taken as received": [(Allocation, "recompute_charge", charge_for_newest_grant)],
    "what a dead node sent is taken as ended": [(AllocationTable, "__init__", forget_what_runs_on)],
    "a node's own slots are used from its first moment": [
        (ConcurrencyLimiter, "has_capacity", use_floor_at_once)
    ],
    "a bucket begins full": [(TokenBucket, "__init__", begin_with_full_bucket)],
}


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


def request_again_at_once(self, now, voters):
    """Whoever has had no answer 2 ms later requests again, and again."""
    if now >= self.next_request_at:
        _request_if_due(self, now, voters)
        self.next_request_at = now + 20


def request_when_due_once_answered(self, now, grant):
    """Only an answer ends that."""
    _receive_grant(self, now, grant)
    self.next_request_at = now + self._lease // 3


honest |= {"asked": Maintenance.asked, "ask": Maintenance.ask}

SCALE = {
    "an answer to all instead of to one": [(Maintenance, "asked", answered_to_all)],
    "asks are never dropped": [(Maintenance, "ask", asks_kept_for_ever)],
    "asked again without back-off": [
        (ShareClient, "request_if_due", request_again_at_once),
        (ShareClient, "receive_grant", request_when_due_once_answered),
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
