"""A node's lease on its view of the rollout, during which the view is guaranteed to be current. No I/O.

docs/maintenance.md explains why no request reaches a machine that is reported free, and the delays involved.
"""

from dataclasses import dataclass, field

# Number of times per lease that a new one is requested.
REQUESTS_PER_LEASE = 4
# Value of `certain_until` once the expiry of the last lease has been handled.
LOST = 0


@dataclass(slots=True)
class PendingLeaseRequest:
    """A lease request that was sent to all voters.

    Attributes:
        sent_at: When it was sent, in ticks. The lease starts then, as an answer may be delayed arbitrarily.
        revision: The newest revision known to the node at that time.
        epoch: The epoch of the voters to which it was sent.
        granted_by: The voters that have granted it.
    """

    sent_at: int
    revision: int
    epoch: int
    granted_by: set[int] = field(default_factory=set)


class ViewLease:
    """Tracks lease requests and until when the view is certain.

    Attributes:
        consensus: The node's consensus component, whose voters grant the leases.
        duration: Duration of a lease, in ticks.
        certain_until: End of the newest lease, in ticks; None before the first lease, `LOST` once `mark_lost`
            was called.
        newest_since: When the newest lease, expired or not, was requested, in ticks; None before the first
            one. The view was the newest rollout at that time.
        next_request_at: When the next lease is requested, in ticks.
        pending_requests: Requests that may still be granted, by number.
    """

    def __init__(self, consensus, duration):
        self.consensus = consensus
        self.duration = duration
        self.certain_until: int | None = None
        self.newest_since: int | None = None
        self.next_request_at = 0
        self.pending_requests: dict[int, PendingLeaseRequest] = {}

    @property
    def was_ever_certain(self):
        """Whether this process has held a lease."""
        return self.certain_until is not None

    def is_certain(self, now):
        """Returns whether a lease is in force.

        Until it ends, a newer revision does not take effect without this node's acknowledgement.
        """
        return self.certain_until is not None and now < self.certain_until

    def has_expired(self, now):
        """Returns whether the last lease has ended and `mark_lost` has not been called since."""
        return self.certain_until not in (None, LOST) and now >= self.certain_until

    def mark_lost(self):
        """Marks the expiry of the last lease as handled."""
        self.certain_until = LOST

    def start_request(self, now, number, revision):
        """Records that a lease for `revision` is requested now; drops requests that are too old to count."""
        self.next_request_at = now + self.duration // REQUESTS_PER_LEASE
        self.pending_requests[number] = PendingLeaseRequest(now, revision, self.consensus.epoch)
        self.pending_requests = {
            pending_number: pending
            for pending_number, pending in self.pending_requests.items()
            if now < pending.sent_at + self.duration
        }

    def receive_answer(self, sender, answer):
        """Counts a voter's answer.

        Only voters of the request's epoch count: majorities of two different epochs need not overlap.

        Returns:
            The revision that this answer confirmed by a majority; None if there is no majority of grants.
        """
        pending = self.pending_requests.get(answer.number)
        if pending is None or not answer.granted or pending.epoch != answer.epoch:
            return None
        voters = self.consensus.members
        if sender not in voters:
            return None
        pending.granted_by.add(sender)
        grant_count = len(pending.granted_by & {*voters})
        if grant_count < self.consensus.quorum_size() or answer.epoch != self.consensus.epoch:
            return None
        self.certain_until = max(self.certain_until or LOST, pending.sent_at + self.duration)
        self.newest_since = max(self.newest_since or pending.sent_at, pending.sent_at)
        return pending.revision
