"""Builds that are broken on purpose, one fault each: what judges has to catch every one of them.

Each is a list of (class, name, what stands there instead). None is ever used by a node.
"""

from contextlib import contextmanager

from grebedyke import errors
from grebedyke.consensus import acceptor, messages, proposer, records
from grebedyke.consensus.ballots import Incarnation
from grebedyke.consensus.proposer import Round
from grebedyke.consensus.recovery import Recovery
from grebedyke.consensus.vote_store import VoteStore
from grebedyke.maintenance import commands, exclusions, observations
from grebedyke.maintenance.component import Maintenance
from grebedyke.maintenance.evidence import UnplannedLosses
from grebedyke.maintenance.observations import Observations
from grebedyke.maintenance.rollout import MachineState
from grebedyke.maintenance.settings import MaintenanceSettings
from grebedyke.maintenance.view_lease import ViewLease
from grebedyke.rate_limits import allocation, definitions, limiter
from grebedyke.rate_limits.component import RateLimits


def answer_at_once(self, node, answer):
    self.consensus.send_message(node, answer.message)
    if answer.needs_persisting:
        self.mark_dirty()


def lease_from_the_answer(self, now, sender, answer):
    """The lease counts from when the answer came."""
    if answer.number in self.lease.pending_requests:
        self.lease.pending_requests[answer.number].sent_at = now
    honest["lease_answered"](self, now, sender, answer)


def lease_for_any_revision(self, now, sender, request):
    """The lease is granted whatever the node knows."""
    self.observations.record_acknowledgement(now, sender, request.acknowledged_revision, request.process)
    self.answer_lease_request(sender, request, granted=True)


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


def back_by_any_number(rollout, name, number):
    """A confirmation counts whichever number it carries."""
    status = rollout.machines.get(name)
    if status is not None and status.state in (MachineState.FREE, MachineState.FAILED):
        back = rollout.with_machine(name, MachineState.BACK)
        return commands.CommandResult(back, f"{name}: {MachineState.BACK}")
    return honest["confirm_machine_back"](rollout, name, number)


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
    "lease_answered": Maintenance.lease_answered,
    "restore": Recovery.restore,
    "confirm_machine_back": commands.confirm_machine_back,
}

BUILDS = {
    "a vote is answered before it is kept": [(VoteStore, "answer", answer_at_once)],
    "half is taken for a majority": [(Round, "quorum_size", lambda self: max(len(self.members) // 2, 1))],
    "a lease is reckoned from the answer": [
        (Maintenance, "lease_answered", lease_from_the_answer),
    ],
    "no drift": [
        (MaintenanceSettings, "lease_bound", lambda self: int(self.lease * (1 - 2 * self.drift))),
    ],
    "numbers are not compared": [(commands, "confirm_machine_back", back_by_any_number)],
    "a spoilt file is taken for a new member's": [(Recovery, "restore", as_a_new_member)],
    "back is taken for warm": [(Observations, "is_warmed_up", lambda self, now, key: True)],
    "losses without a plan are not counted": [
        (observations, "unplanned_losses", lambda rollout, endpoints: UnplannedLosses()),
    ],
    "a lease is given to whoever asks": [
        (Maintenance, "lease_requested", lease_for_any_revision),
    ],
    "who is not sure uses what waits": [
        (exclusions, "EXCLUDED_STATES_WHEN_UNSURE", exclusions.EXCLUDED_STATES),
    ],
    "votes of past lives count": [(proposer, "consistent_votes", no_quorum_of_incarnations)],
    "who is let in again does not hear how far the others are": [
        (acceptor.Acceptor, "admit", without_vote_counts)
    ],
    "who has just begun uses all": [(Maintenance, "has_no_view", lambda self: False)],
}


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


def answered_to_all(self, node, request, granted):
    """A voter's answer goes to every node instead of to the one that asked."""
    for each in range(self.node_count):
        honest["answer_lease_request"](self, each, request, granted)


def requests_kept_for_ever(self, now, number, revision):
    """Lease requests that are too old to count are not dropped."""
    pending_requests = dict(self.pending_requests)
    honest["start_request"](self, now, number, revision)
    self.pending_requests = {**pending_requests, **self.pending_requests}


def asked_again_at_once(self, now):
    """Whoever has had no answer 2 ms later asks again, and again."""
    before = self.number
    honest_limits["ask"](self, now)
    if self.number > before:
        self.next = now + 20


def answered_in_time(self, now, by, number, term, other, given):
    honest_limits["granted"](self, now, by, number, term, other, given)
    self.next = now + self.lease // 3


honest |= {
    "answer_lease_request": Maintenance.answer_lease_request,
    "start_request": ViewLease.start_request,
}
honest_limits |= {"ask": RateLimits.ask}

SCALE = {
    "an answer to all instead of to one": [
        (Maintenance, "answer_lease_request", answered_to_all),
    ],
    "asks are never dropped": [(ViewLease, "start_request", requests_kept_for_ever)],
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
