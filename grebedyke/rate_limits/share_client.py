"""The client of the lease holder: requests shares and passes granted shares to the limiter. No I/O."""

from grebedyke.rate_limits.definitions import fingerprint
from grebedyke.rate_limits.messages import ShareRequest

_REQUESTS_PER_LEASE = 3
# On a shortage, a node sends its next request early, but at most this often per lease.
_MAX_EARLY_REQUESTS_PER_LEASE = 8


class ShareClient:
    """Requests shares of all limits from the lease holder.

    Attributes:
        next_request_at: Tick of the next request.
        limits_differ: Whether the holder's limits differ from those of this node.
        answered_at: Tick at which the newest answer arrived, None before the first.
        answered_request_sent_at: Tick at which the request of that answer was sent, None before the first.
    """

    def __init__(self, context, election, limiter, limits):
        """Starts without shares.

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
        self._early_request_at = 0
        self._pending = {}
        self._received_number = 0
        self._received_term = 0
        self.next_request_at = 0
        self.limits_differ = False
        self.answered_at = None
        self.answered_request_sent_at = None
        self._set_limits(limits)

    def start(self, now):
        """Starts requesting shares."""
        self._started_at = now
        self.next_request_at = now

    def change_limits(self, now, limits):
        """Applies changed limits and sends a request to the holder at once."""
        self._set_limits(limits)
        self.next_request_at = now

    def holder_changed(self, now):
        """Requests shares from a new holder at once."""
        self.next_request_at = min(self.next_request_at, now)

    def has_current_shares(self, now):
        """Returns whether shares granted by the current holder are in force."""
        return (
            self.answered_request_sent_at is not None
            and now < self.answered_request_sent_at + self._lease
            and self._received_term == self._election.term
        )

    def request_early_on_shortage(self, now):
        """Brings the next request forward if a limit had no capacity since the last call."""
        if (
            self._limiter.shortage
            and now >= self._early_request_at + self._lease // _MAX_EARLY_REQUESTS_PER_LEASE
        ):
            self._early_request_at = now
            self.next_request_at = now
        self._limiter.shortage = False

    def request_if_due(self, now, voters):
        """Sends a request three times per lease, to the holder or to a voter that may have learned of one."""
        if now < self.next_request_at:
            return
        self.next_request_at = now + self._lease // _REQUESTS_PER_LEASE
        number = next(self._request_numbers)
        self._pending = {
            other: sent_at for other, sent_at in self._pending.items() if now < sent_at + self._lease
        }
        self._pending[number] = now
        recipient = self._recipient(now, number, voters)
        if recipient is None:
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
        self._send(recipient, request)

    def receive_grant(self, now, grant):
        """Passes granted shares to the limiter, unless the grant is outdated or from another holder.

        Grants from a former holder are ignored: they have to be over before the next holder grants anything.
        The lease of a share starts when the request was *sent*. The holder counts it from a later time, so it
        never considers a share expired that is still in use, regardless of message delays.
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

    def _recipient(self, now, number, voters):
        """Returns the node to which a request is sent.

        This is the holder's node. If it does not answer, every second request goes to a voter in turn; if no
        holder is known, every request does.
        """
        holder = self._election.holder
        last_answer_at = max(self.answered_at or 0, self._started_at)
        if holder and (now < last_answer_at + 2 * self._lease or number % 2):
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
