"""The proposer: the rounds in which this node has values chosen, with timeouts and back-off."""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from grebedyke.consensus import messages
from grebedyke.consensus.acceptor import consistent_votes
from grebedyke.consensus.ballots import NO_BALLOT, Ballot
from grebedyke.consensus.membership import FIRST_EPOCH
from grebedyke.consensus.value_messages import VoteCount
from grebedyke.consensus.voting_messages import RefusalReason

MAX_TIMEOUT_DOUBLINGS = 3
MAX_BACKOFF_DOUBLINGS = 5
DEFAULT_PROPOSAL_TIMEOUT = 20
"""The timeout of a proposal if the caller gives none, in round timeouts."""


class Proposal:
    """A change of a value that a component of this node has proposed.

    Attributes:
        change: change(value) -> (new value, result); must be safe to apply more than once.
        done: done(now, result), called once; the result is None if it is not known whether the change was
            chosen.
        expires_at: The time at which the proposal is given up, in ticks.
    """

    __slots__ = ("change", "done", "expires_at")

    def __init__(self, change: Callable, done: Callable, expires_at: int):
        self.change = change
        self.done = done
        self.expires_at = expires_at


class Backoff(NamedTuple):
    """The back-off of a key's rounds.

    Attributes:
        until: The earliest start of the next round, in ticks.
        failures: Number of rounds failed since the last success, limited to `MAX_BACKOFF_DOUBLINGS`.
    """

    until: int
    failures: int


NO_BACKOFF = Backoff(0, 0)


class Round:
    """One run of the two phases, prepare and accept, for a key under one ballot.

    Attributes:
        key: The register's key.
        ballot: The round's ballot.
        epoch: The epoch of `members`.
        members: The members that the requests are sent to.
        proposals: The proposals whose changes the round applies.
        expires_at: The time at which the round is abandoned, in ticks.
        promises: The `Promise` of each member.
        accepted: The `Accepted` of each member.
        is_accepting: Whether a quorum has promised and the accept requests are sent.
        base_ballot: The ballot of `base_value`.
        base_value: The value that the changes were applied to.
        value: The value after the changes.
        results: The results of the changes, in the order of `proposals`.
    """

    def __init__(self, key: str, ballot: Ballot, epoch: int, members: list[int], expires_at: int):
        self.key = key
        self.ballot = ballot
        self.epoch = epoch
        self.members = members
        self.expires_at = expires_at
        self.proposals: list[Proposal] = []
        self.promises = {}
        self.accepted = {}
        self.is_accepting = False
        self.base_ballot = NO_BALLOT
        self.base_value: Any = None
        self.value: Any = None
        self.results = []

    def quorum_size(self):
        """Returns the number of members that form a majority."""
        return len(self.members) // 2 + 1

    def apply_changes(self, base_ballot, base_value):
        """Applies the changes of all proposals in order to the value accepted before."""
        self.base_ballot = base_ballot
        self.base_value = base_value
        self.value = base_value
        for proposal in self.proposals:
            self.value, result = proposal.change(self.value)
            self.results.append(result)


class Proposer:
    """Runs at most one round per key; changes proposed during a round are part of the next one.

    Attributes:
        counter: The highest counter of any known ballot.
        queues: The proposals of each key that are not chosen yet.
        rounds: The current round of each key.
        backoffs: The `Backoff` of each key.
        timeout_doublings: How many times the round timeout is doubled. It adapts to disks and links that take
            longer than the configured time.
    """

    def __init__(self, consensus):
        self.consensus = consensus
        self.acceptor = consensus.acceptor
        self.counter = 0
        self.queues = {}
        self.rounds = {}
        self.backoffs = {}
        self.timeout_doublings = 0

    def raise_counter(self, counter):
        """Ensures that this node's next ballots have a counter higher than `counter`."""
        self.counter = max(self.counter, counter)

    def propose(self, now, key, change, done, timeout=None):
        """See `Consensus.propose`."""
        timeout = timeout or DEFAULT_PROPOSAL_TIMEOUT * self.consensus.round_timeout
        proposal = Proposal(change, done, now + timeout)
        self.queues.setdefault(key, deque()).append(proposal)
        self.backoffs.setdefault(key, Backoff(now, 0))

    def has_proposals(self, key):
        """Returns whether the key has proposals that are not chosen yet."""
        return bool(self.queues.get(key))

    def advance_rounds(self, now):
        """Ends expired proposals and rounds, and begins the rounds that are due."""
        for key, queue in list(self.queues.items()):
            self._drop_expired(now, key, queue)
            round_ = self.rounds.get(key)
            if round_ and now >= round_.expires_at:
                # With an unchanged timeout no round would ever succeed if the disks are slower.
                self.timeout_doublings = min(self.timeout_doublings + 1, MAX_TIMEOUT_DOUBLINGS)
                self._abandon(now, round_)
            if queue and key not in self.rounds and now >= self.backoffs.get(key, NO_BACKOFF).until:
                self._begin_round(now, key, queue)
            if not queue and key not in self.rounds:
                del self.queues[key]
                self.backoffs.pop(key, None)

    def _drop_expired(self, now, key, queue):
        while queue and queue[0].expires_at <= now and key not in self.rounds:
            queue.popleft().done(now, None)

    def due_times(self, now):
        """Returns the times at which `advance_rounds` is due, in ticks."""
        times = [round_.expires_at for round_ in self.rounds.values()]
        for key, queue in self.queues.items():
            if queue and key not in self.rounds:
                times.append(self.backoffs.get(key, Backoff(now, 0)).until)
        return times

    def _begin_round(self, now, key, queue):
        self.counter += 1
        round_ = Round(
            key,
            Ballot(self.counter, self.acceptor.node_id, self.consensus.process_id),
            epoch=max(self.acceptor.epoch, FIRST_EPOCH),
            members=list(self.acceptor.members),
            expires_at=now + self._round_timeout(),
        )
        round_.proposals = list(queue)
        self.rounds[key] = round_
        prepare = messages.Prepare(key, round_.ballot, round_.epoch, round_.members)
        for node in round_.members:
            self.consensus.send_message(node, prepare)

    def _round_timeout(self):
        return self.consensus.round_timeout << self.timeout_doublings

    def _abandon(self, now, round_):
        """Abandons a round; the back-off before the next one doubles with each failure, up to a limit.

        The delay is random: with equal delays two proposers would keep superseding each other's ballots.
        """
        key = round_.key
        self.rounds.pop(key, None)
        failures = min(self.backoffs.get(key, NO_BACKOFF).failures + 1, MAX_BACKOFF_DOUBLINGS)
        draw = self.consensus.random_source.draw()
        delay = int(self.consensus.round_timeout * 2**failures / 8 * (0.25 + draw))
        self.backoffs[key] = Backoff(now + delay, failures)

    # Incoming messages.

    def _round_of(self, sender, message):
        """Returns the current round that a message belongs to, or None if it has ended."""
        round_ = self.rounds.get(message.key)
        if round_ and round_.ballot == message.ballot and sender in round_.members:
            return round_
        return None

    def on_promise(self, now, sender, promise):
        """Counts a promise; once a majority has promised, applies the changes and sends accept requests."""
        round_ = self._round_of(sender, promise)
        if round_ is None:
            return
        round_.promises[sender] = promise
        # A suspended process may receive the promises only now: the value they carry may be outdated.
        if round_.is_accepting or now >= round_.expires_at:
            return
        promises = consistent_votes(round_.promises, round_.quorum_size())
        if not promises:
            return
        newest = max(promises.values(), key=lambda promise: promise.accepted)
        round_.apply_changes(newest.accepted, newest.value)
        round_.is_accepting = True
        request = messages.AcceptRequest(
            round_.key, round_.ballot, round_.value, round_.epoch, round_.members
        )
        for node in round_.members:
            self.consensus.send_message(node, request)

    def on_accepted(self, now, sender, accepted):
        """Counts an acceptance; once a majority has accepted, the value is chosen."""
        round_ = self._round_of(sender, accepted)
        if round_ is None:
            return
        round_.accepted[sender] = accepted
        if not round_.is_accepting:
            return
        votes = consistent_votes(round_.accepted, round_.quorum_size())
        if votes:
            self._finish(now, round_, votes)

    def on_refusal(self, now, sender, refusal):
        """Abandons a round that a member has refused because of a higher ballot or newer members."""
        self.consensus.membership.adopt(now, refusal.epoch, refusal.members)
        round_ = self.rounds.get(refusal.key)
        is_final = refusal.reason in (RefusalReason.PROMISED, RefusalReason.OLD_EPOCH)
        if round_ and round_.ballot == refusal.ballot and is_final:
            self.raise_counter(refusal.promised.counter)
            self._abandon(now, round_)

    def _finish(self, now, round_, votes):
        del self.rounds[round_.key]
        self.backoffs[round_.key] = Backoff(now, 0)
        if now < round_.expires_at - self._round_timeout() * 3 // 4:
            self.timeout_doublings = max(self.timeout_doublings - 1, 0)
        queue = self.queues[round_.key]
        for proposal in round_.proposals:
            if proposal in queue:
                queue.remove(proposal)
        accepted_by = {node: VoteCount(vote.incarnation, vote.vote_count) for node, vote in votes.items()}
        chosen_values = self.consensus.chosen_values
        chosen_values.learn(now, round_.key, round_.ballot, round_.value)
        chosen_values.announce(round_, accepted_by)
        chosen_values.record_vote_counts(now, accepted_by)
        for proposal, result in zip(round_.proposals, round_.results, strict=False):
            proposal.done(now, result)
