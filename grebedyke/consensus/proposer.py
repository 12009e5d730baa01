"""The proposer: rounds by which this node has values chosen, their retries and back-off."""

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
"""How long a change is tried for where its proposer does not say, in round timeouts."""


class Proposal:
    """A change that somebody on this node wants.

    Attributes:
        change: change(value) -> (new value, result); harmless when it is applied again.
        done: done(now, result), called once; None as the result where it is not known whether it was chosen.
        expires_at: When it is given up, in ticks.
    """

    __slots__ = ("change", "done", "expires_at")

    def __init__(self, change: Callable, done: Callable, expires_at: int):
        self.change = change
        self.done = done
        self.expires_at = expires_at


class Backoff(NamedTuple):
    """When a key's next round may begin.

    Attributes:
        until: In ticks.
        failures: Rounds that have failed since the last success.
    """

    until: int
    failures: int


NO_BACKOFF = Backoff(0, 0)


class Round:
    """One attempt of this node to have a key's value changed, under one ballot.

    Attributes:
        key: The register's key.
        ballot: This round's own.
        epoch: That of the members it asks.
        members: The members it asks.
        proposals: The changes that it makes.
        expires_at: When it is given up, in ticks.
        promises: By member, its `Promise`.
        accepted: By member, its `Accepted`.
        is_accepting: Whether enough members have promised, so that they are asked to accept.
        base_ballot: The ballot of the value that the changes were applied to.
        base_value: That value.
        value: The changed value.
        results: The results of the changes.
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
        """Returns how many members are a majority."""
        return len(self.members) // 2 + 1

    def apply_changes(self, base_ballot, base_value):
        """Applies all changes, one after the other, to the value accepted before."""
        self.base_ballot = base_ballot
        self.base_value = base_value
        self.value = base_value
        for proposal in self.proposals:
            self.value, result = proposal.change(self.value)
            self.results.append(result)


class Proposer:
    """Runs at most one round for a key; what is proposed meanwhile goes with the next.

    Attributes:
        counter: The highest counter of any ballot that is known.
        queues: By key, the proposals that are not chosen yet.
        rounds: By key, the round under way.
        backoffs: By key, when its next round may begin.
        timeout_doublings: How often a round's time is doubled: learnt where disks or links take longer than
            the configured time.
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
        """Has the next ballots be higher than that of `counter`."""
        self.counter = max(self.counter, counter)

    def propose(self, now, key, change, done, timeout=None):
        """See `Consensus.propose`."""
        timeout = timeout or DEFAULT_PROPOSAL_TIMEOUT * self.consensus.round_timeout
        proposal = Proposal(change, done, now + timeout)
        self.queues.setdefault(key, deque()).append(proposal)
        self.backoffs.setdefault(key, Backoff(now, 0))

    def has_proposals(self, key):
        """Returns whether any change of that key is not chosen yet."""
        return bool(self.queues.get(key))

    def drive(self, now):
        """Ends what has expired and begins the rounds that are due."""
        for key, queue in list(self.queues.items()):
            self._drop_expired(now, key, queue)
            round_ = self.rounds.get(key)
            if round_ and now >= round_.expires_at:
                # With the same time again no round would succeed where disks are slower than that.
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

    def next_times(self, now):
        """Returns when `drive` has something to do, in ticks."""
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
        """Gives a round up; the next one begins later each time.

        The time is drawn: with the same times two nodes would go on refusing each other's ballots.
        """
        key = round_.key
        self.rounds.pop(key, None)
        failures = min(self.backoffs.get(key, NO_BACKOFF).failures + 1, MAX_BACKOFF_DOUBLINGS)
        draw = self.consensus.random_source.draw()
        delay = int(self.consensus.round_timeout * 2**failures / 8 * (0.25 + draw))
        self.backoffs[key] = Backoff(now + delay, failures)

    # What comes in.

    def _round_of(self, sender, message):
        """Returns the round under way that a message belongs to, None where it has ended."""
        round_ = self.rounds.get(message.key)
        if round_ and round_.ballot == message.ballot and sender in round_.members:
            return round_
        return None

    def on_promise(self, now, sender, promise):
        """Counts a promise; with a majority the changes are made and the members asked to accept."""
        round_ = self._round_of(sender, promise)
        if round_ is None:
            return
        round_.promises[sender] = promise
        # A process that was stopped may find the answers only now: what its change rests on is old by then.
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
        """Counts an acceptance; with a majority the value is chosen."""
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
        """Gives a round up that a member has refused for a higher ballot or newer members."""
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
        chosen_values.remember(now, accepted_by)
        for proposal, result in zip(round_.proposals, round_.results, strict=False):
            proposal.done(now, result)
