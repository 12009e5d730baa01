"""A node's side of sharing: it asks the lease holder for shares and passes on what it is granted. No I/O."""

from grebedyke.rate_limits.definitions import fingerprint
from grebedyke.rate_limits.messages import ShareRequest

_REQUESTS_PER_LEASE = 3
# A node that is short of a share does not wait for its next request, but sends at most so many.
_EARLY_REQUESTS_PER_LEASE = 8


class ShareClient:
    """Requests shares of all limits from the lease holder.

    Attributes:
        next_request_at: Tick of the next request.
        limits_differ: The holder has other limits than this node.
        answered_at: Tick at which the newest answer arrived, None before the first.
        answered_request_sent_at: Tick at which the request of that answer was sent, None before the first.
    """

    def __init__(self, context, election, limiter, limits):
        """Begins without shares.

        Args:
            context: The node's `NodeContext`.
            election: The node's `HolderElection`.
            limiter: The `RequestLimiter` that admits requests by the shares.
            limits: The limits in force.
        """
        self._election = election
        self._limiter = limiter
        self._process = context.process
        self._lease = context.terms.lease
        self._request_numbers = context.request_numbers
        self._send = context.send
        self._started_at = 0
        self._hurried_at = 0
        self._pending = {}
        self._received_number = 0
        self._received_term = 0
        self.next_request_at = 0
        self.limits_differ = False
        self.answered_at = None
        self.answered_request_sent_at = None
        self._set_limits(limits)

    def start(self, now):
        """Requests shares from now on."""
        self._started_at = now
        self.next_request_at = now

    def change_limits(self, now, limits):
        """Puts changed limits in force and tells the holder at once."""
        self._set_limits(limits)
        self.next_request_at = now

    def holder_changed(self, now):
        """Requests shares from a new holder at once."""
        self.next_request_at = min(self.next_request_at, now)

    def has_current_shares(self, now):
        """Returns whether shares are in force that the present holder granted."""
        return (
            self.answered_request_sent_at is not None
            and now < self.answered_request_sent_at + self._lease
            and self._received_term == self._election.term
        )

    def hurry_if_short(self, now):
        """Brings the next request forward if a limit had no capacity since the last call."""
        if self._limiter.shortage and now >= self._hurried_at + self._lease // _EARLY_REQUESTS_PER_LEASE:
            self._hurried_at = now
            self.next_request_at = now
        self._limiter.shortage = False

    def request_if_due(self, now, voters):
        """Sends a request three times a lease, to the holder or a voter that may know of one."""
        if now < self.next_request_at:
            return
        self.next_request_at = now + self._lease // _REQUESTS_PER_LEASE
        number = next(self._request_numbers)
        self._pending = {
            other: sent_at for other, sent_at in self._pending.items() if now < sent_at + self._lease
        }
        self._pending[number] = now
        receiver = self._receiver(now, number, voters)
        if receiver is None:
            return
        term = self._election.term
        request = ShareRequest(
            number=number,
            term=term,
            process=self._process,
            received_number=self._received_number if self._received_term == term else 0,
            fingerprint=self._fingerprint,
            usage=self._usage(now),
            sizes=self._sizes() if self.limits_differ else [],
        )
        self._send(receiver, request)

    def receive_grant(self, now, grant):
        """Passes granted shares on to the limiter, unless the message is late or of another holder.

        Grants of a former holder have ended before the next holder grants anything, so none of them is taken
        afterwards. A share's lease is counted from when the request was *sent*: the holder counts it from a
        later moment, however long the messages took.
        """
        sent_at = self._pending.get(grant.number)
        if sent_at is None or grant.term != self._election.term:
            return
        if grant.number <= self._received_number and grant.term == self._received_term:
            return
        self._received_number = grant.number
        self._received_term = grant.term
        self.answered_at = now
        self.limits_differ = bool(grant.limits_differ)
        self.answered_request_sent_at = sent_at
        shares = grant.shares_by_limit()
        for wire_id, meter in self._limiter.meters.items():
            meter.receive_share(now, shares.get(wire_id, 0), sent_at + self._lease)

    def _set_limits(self, limits):
        self._limits = limits
        self._fingerprint = fingerprint(limits)

    def _receiver(self, now, number, voters):
        """Returns the holder's node; where the holder does not answer, each second time a voter in turn."""
        holder = self._election.holder
        last_heard = max(self.answered_at or 0, self._started_at)
        if holder and (now < last_heard + 2 * self._lease or number % 2):
            return holder.node
        return voters[number // 2 % len(voters)] if voters else None

    def _usage(self, now):
        rows = []
        for wire_id, meter in self._limiter.meters.items():
            demand = meter.demand(now)
            if demand or meter.in_flight or meter.share:
                rows.append([wire_id, demand, meter.in_flight])
        return rows

    def _sizes(self):
        return [[limit.wire_id, limit.size, limit.floor] for limit in self._limits]
