"""Builds with one deliberate fault each; tests prove the checkers by having them catch every build.

Only tests and the test bed use them. `BUILDS` has faults of consensus and maintenance, `LIMITS` faults of the
fleet's limits. The builds in `SCALE` violate no guarantee, but cost many times as much as the correct code.
The keys are the names that the command line accepts.
"""

from collections.abc import Callable
from contextlib import contextmanager
from typing import Any, NamedTuple

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
from grebedyke.rate_limits import definitions
from grebedyke.rate_limits.allocation import Allocation, AllocationTable
from grebedyke.rate_limits.concurrency_limiter import ConcurrencyLimiter
from grebedyke.rate_limits.holder_election import HolderElection
from grebedyke.rate_limits.lease_holder import LeaseHolder
from grebedyke.rate_limits.lease_terms import LeaseTerms
from grebedyke.rate_limits.limit_meter import LimitMeter
from grebedyke.rate_limits.share_client import ShareClient
from grebedyke.rate_limits.token_bucket import TokenBucket

# The correct code, which some replacements call.
_admit_correctly = acceptor.Acceptor.admit
_take_lease_answer_correctly = Maintenance.lease_answered
_restore_correctly = Recovery.restore
_confirm_machine_back_correctly = commands.confirm_machine_back
_answer_lease_request_correctly = Maintenance.answer_lease_request
_start_request_correctly = ViewLease.start_request
_receive_grant_correctly = ShareClient.receive_grant
_init_table_correctly = AllocationTable.__init__
_init_bucket_correctly = TokenBucket.__init__
_request_if_due_correctly = ShareClient.request_if_due


class Patch(NamedTuple):
    """The replacement of one attribute in a broken build.

    Attributes:
        owner: The class or module that has the attribute.
        attribute: Its name.
        replacement: Its value in the broken build.
    """

    owner: Any
    attribute: str
    replacement: Callable | Any


def answer_before_persisting(self, node, answer):
    """Sends an answer before the vote is on disk."""
    self.consensus.send_message(node, answer.message)
    if answer.needs_persisting:
        self.mark_dirty()


def start_lease_at_answer(self, now, sender, answer):
    """Starts the lease when the answer arrives instead of when the request was sent."""
    if answer.number in self.lease.pending_requests:
        self.lease.pending_requests[answer.number].sent_at = now
    _take_lease_answer_correctly(self, now, sender, answer)


def grant_lease_for_any_revision(self, now, sender, request):
    """Grants the lease even if the node lacks the newest rollout accepted here."""
    self.observations.record_acknowledgement(now, sender, request.acknowledged_revision, request.process)
    self.answer_lease_request(sender, request, granted=True)


def restore_as_new_member(self, now, data):
    """Treats a missing or corrupt file as that of a new member."""
    try:
        known = data is not None and records.decode(self.consensus.fleet, self.acceptor.node_id, data)
    except errors.CorruptRecordError:
        known = None
    if known or self.acceptor.node_id not in self.founders:
        return _restore_correctly(self, now, data)
    self.next_query_at = now
    self.acceptor.phase = acceptor.MemberPhase.VOTING
    self.acceptor.incarnation = Incarnation(1, 1)
    self.acceptor.epoch = 1
    self.consensus.store.mark_dirty()


def confirm_back_ignoring_number(rollout, name, number):
    """Accepts a confirmation with an outdated status number."""
    status = rollout.machines.get(name)
    if status is not None and status.state in (MachineState.FREE, MachineState.FAILED):
        back = rollout.with_machine(name, MachineState.BACK)
        return commands.CommandResult(back, f"{name}: {MachineState.BACK}")
    return _confirm_machine_back_correctly(rollout, name, number)


def accept_votes_of_any_incarnation(votes, quorum_size):
    """Counts votes without comparing the incarnations of other members that they contain."""
    return votes if len(votes) >= quorum_size else None


def admit_without_vote_counts(self, node, incarnation):
    """Answers a rejoin request with the incarnations of the other members, but not with their vote counts."""
    answer = _admit_correctly(self, node, incarnation)
    if not isinstance(answer.message, messages.RejoinState):
        return answer
    return answer._replace(message=answer.message._replace(vote_count=0, vote_counts={}))


BUILDS = {
    "a vote is answered before it is kept": [Patch(VoteStore, "answer", answer_before_persisting)],
    "half is taken for a majority": [
        Patch(Round, "quorum_size", lambda self: max(len(self.members) // 2, 1))
    ],
    "a lease is reckoned from the answer": [
        Patch(Maintenance, "lease_answered", start_lease_at_answer),
    ],
    "no drift": [
        Patch(MaintenanceSettings, "lease_bound", lambda self: int(self.lease * (1 - 2 * self.drift))),
    ],
    "numbers are not compared": [Patch(commands, "confirm_machine_back", confirm_back_ignoring_number)],
    "a spoilt file is taken for a new member's": [Patch(Recovery, "restore", restore_as_new_member)],
    "back is taken for warm": [Patch(Observations, "is_warmed_up", lambda self, now, key: True)],
    "losses without a plan are not counted": [
        Patch(observations, "unplanned_losses", lambda rollout, endpoints: UnplannedLosses()),
    ],
    "a lease is given to whoever asks": [
        Patch(Maintenance, "lease_requested", grant_lease_for_any_revision),
    ],
    "who is not sure uses what waits": [
        Patch(exclusions, "EXCLUDED_STATES_IF_UNCERTAIN", exclusions.EXCLUDED_STATES),
    ],
    "votes of past lives count": [Patch(proposer, "consistent_votes", accept_votes_of_any_incarnation)],
    "who is let in again does not hear how far the others are": [
        Patch(acceptor.Acceptor, "admit", admit_without_vote_counts)
    ],
    "who has just begun uses all": [Patch(Maintenance, "has_no_view", lambda self: False)],
}


# Limits.


def start_share_at_grant(self, now, grant):
    """Starts a share's lease when its grant arrives instead of when it was requested."""
    if grant.number in self._pending:
        self._pending[grant.number] = now
    _receive_grant_correctly(self, now, grant)


def add_share(self, now, share, expires_at):
    """Adds a share to the previous one instead of replacing it."""
    self.share = self.share + share
    self.share_expires_at = expires_at


def add_share_to_bucket(self, now, share, expires_at):
    """Does the same for a token bucket, which has to be refilled first."""
    self._refill(now)
    add_share(self, now, share, expires_at)


def charge_for_newest_grant(self):
    """Charges only the newest grant, as if it had been received; it may be lost or still in transit."""
    newest = [amount for _, amount, _ in [*self.grants][-1:]]
    charged = max([*newest, self.in_use])
    growth = charged - self.charged
    self.charged = charged
    return growth


def init_table_without_run_on(self, kind, total, floor, times):
    """Assumes that the requests of a dead node end together with its last grant."""
    _init_table_correctly(self, kind, total, floor, times._replace(run_on=0))


def ignore_limit_change(self, *arguments):
    """Keeps the former limit in force after a reduction."""


def use_floor_without_waiting(self, now):
    """Uses the floor from the start, while requests that a former process admitted may still be running."""
    return self.in_flight < self.limit.floor + self.active_share(now)


def init_bucket_full(self, limit, terms, now):
    """Starts a process with its part of the burst in the bucket."""
    _init_bucket_correctly(self, limit, terms, now)
    self.tokens = limit.burst / terms.node_count


def shorten_by_drift(duration, clock_drift):
    """Shortens a bound by the clock drift instead of extending it."""
    return int(duration * (1 - 2 * clock_drift))


LIMITS = {
    "a share is reckoned from the answer": [Patch(ShareClient, "receive_grant", start_share_at_grant)],
    "no drift in shares": [
        Patch(
            LeaseTerms,
            "grant_bound",
            lambda self: shorten_by_drift(self.lease, self.clock_drift),
        ),
        Patch(
            LeaseTerms,
            "takeover_wait",
            lambda self, kind=None: shorten_by_drift(2 * self.lease, self.clock_drift),
        ),
    ],
    "floors are not counted": [Patch(definitions, "grantable_amount", lambda size, floor, node_count: size)],
    "a new holder does not wait": [Patch(LeaseTerms, "takeover_wait", lambda self, kind=None: 0)],
    "a holder whose place has ended grants on": [
        Patch(HolderElection, "is_certain_holder", lambda self, now: self.is_holder())
    ],
    "a grant that comes again is added": [
        Patch(LimitMeter, "receive_share", add_share),
        Patch(TokenBucket, "receive_share", add_share_to_bucket),
    ],
    "a shrunk limit is not withdrawn": [
        Patch(LeaseHolder, "update_tables", ignore_limit_change),
        Patch(LimitMeter, "change_limit", ignore_limit_change),
    ],
    "the newest grant is taken as received": [Patch(Allocation, "recompute_charge", charge_for_newest_grant)],
    "what a dead node sent is taken as ended": [
        Patch(AllocationTable, "__init__", init_table_without_run_on)
    ],
    "a node's own slots are used from its first moment": [
        Patch(ConcurrencyLimiter, "has_capacity", use_floor_without_waiting)
    ],
    "a bucket begins full": [Patch(TokenBucket, "__init__", init_bucket_full)],
}


# Scale: these builds violate no guarantee, but cost many times as much as the correct code.


def answer_all_nodes(self, node, request, granted):
    """Sends a voter's answer to every node instead of only to the requesting node."""
    for receiver in range(self.node_count):
        _answer_lease_request_correctly(self, receiver, request, granted)


def keep_outdated_requests(self, now, number, revision):
    """Keeps pending lease requests that are too old to start a lease, instead of dropping them."""
    pending_requests = dict(self.pending_requests)
    _start_request_correctly(self, now, number, revision)
    self.pending_requests = {**pending_requests, **self.pending_requests}


def request_without_backoff(self, now, voters):
    """Repeats an unanswered request every 2 ms."""
    if now >= self.next_request_at:
        _request_if_due_correctly(self, now, voters)
        self.next_request_at = now + 20


def schedule_request_after_grant(self, now, grant):
    """Returns to the regular interval after a grant; nothing else ends the repetition."""
    _receive_grant_correctly(self, now, grant)
    self.next_request_at = now + self._lease // 3


SCALE = {
    "an answer to all instead of to one": [
        Patch(Maintenance, "answer_lease_request", answer_all_nodes),
    ],
    "asks are never dropped": [Patch(ViewLease, "start_request", keep_outdated_requests)],
    "asked again without back-off": [
        Patch(ShareClient, "request_if_due", request_without_backoff),
        Patch(ShareClient, "receive_grant", schedule_request_after_grant),
    ],
}


@contextmanager
def build(name):
    """Runs the body of a `with` statement with the broken build of that name."""
    patches = (BUILDS | LIMITS | SCALE)[name]
    correct = [patch._replace(replacement=getattr(patch.owner, patch.attribute)) for patch in patches]
    try:
        _apply(patches)
        yield
    finally:
        _apply(correct)


def _apply(patches):
    for patch in patches:
        setattr(patch.owner, patch.attribute, patch.replacement)
