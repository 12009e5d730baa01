"""A node's lease on its view of the rollout: for how long no newer one can be in force. No I/O.

Why no request reaches a machine that is reported free, and by how much that may be late: docs/maintenance.md.
"""

from dataclasses import dataclass, field

# How often within a lease a new one is requested.
REQUESTS_PER_LEASE = 4
# Stands for the end of a lease once it has been noticed that it is over.
LOST = 0


@dataclass(slots=True)
class PendingLeaseRequest:
    """A lease request that went to all voters.

    Attributes:
        sent_at: When it was sent, in ticks. The lease counts from then, as an answer may take any time.
        revision: The revision that the node knew then.
        epoch: The epoch of the voters that it was sent to.
        granted_by: The voters that have granted it.
    """

    sent_at: int
    revision: int
    epoch: int
    granted_by: set[int] = field(default_factory=set)


class ViewLease:
    """Requests leases from the voters and keeps until when the view is certain.

    Attributes:
        consensus: The node's consensus component, whose voters are asked.
        duration: How long a lease lasts, in ticks.
        certain_until: The end of the newest lease, in ticks; None before the first one, `LOST` once it is
            over.
        newest_since: When the newest lease was requested, in ticks, be it over or not: the view was the
            newest then. None before the first one.
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
        """Returns whether no revision can be in force that the others would not hold back for this node."""
        return self.certain_until is not None and now < self.certain_until

    def has_expired(self, now):
        """Returns whether the last lease has ended and `mark_lost` has not been called since."""
        return self.certain_until not in (None, LOST) and now >= self.certain_until

    def mark_lost(self):
        """Notes that a lease was held and is no more."""
        self.certain_until = LOST

    def start_request(self, now, number, revision):
        """Notes that a lease for `revision` is requested now; requests too old to count are dropped."""
        self.next_request_at = now + self.duration // REQUESTS_PER_LEASE
        self.pending_requests[number] = PendingLeaseRequest(now, revision, self.consensus.epoch)
        self.pending_requests = {
            pending_number: pending
            for pending_number, pending in self.pending_requests.items()
            if now < pending.sent_at + self.duration
        }

    def receive_answer(self, sender, answer):
        """Counts a voter's answer.

        Only voters of the epoch that was asked count: majorities of two epochs need not meet.

        Returns:
            The revision that the view is certain of by this answer; None where it changed nothing.
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
