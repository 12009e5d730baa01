"""The rate limits component: connects consensus, the lease holder and the node's limiter. No I/O.

docs/limits.md explains why the sum of all shares and floors never exceeds a limit, and the bounds.
"""

from itertools import count

from grebedyke.consensus.component import Component
from grebedyke.rate_limits import messages
from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.rate_limits.holder_election import REGISTER, HolderElection, decode_record
from grebedyke.rate_limits.lease_holder import LeaseHolder
from grebedyke.rate_limits.messages import RenewalAnswer, RenewalRequest, ShareGrant, ShareRequest
from grebedyke.rate_limits.node_context import NodeContext
from grebedyke.rate_limits.request_limiter import RequestLimiter
from grebedyke.rate_limits.share_client import ShareClient
from grebedyke.rate_limits.status import limit_status
from grebedyke.units import TICKS_PER_MILLISECOND


class RateLimits(Component):
    """The component of a node that enforces the fleet's limits.

    Attributes:
        request_limiter: The `RequestLimiter` that the policy calls for each request.
        election: The `HolderElection`.
        share_client: The `ShareClient`.
        lease_holder: The `LeaseHolder`.
        terms: The `LeaseTerms` of the fleet.
        limits: The limits in force.
    """

    call_paths = (b"/v1/limits",)

    def __init__(self, consensus, node_id, process, limits, terms, now):
        """Starts with the floors alone, until shares are granted.

        Args:
            consensus: The node's `Consensus`.
            node_id: This node's number.
            process: A unique number of this process.
            limits: The limits in force.
            terms: The `LeaseTerms` of the fleet.
            now: The tick at which this process starts.
        """
        super().__init__(node_id)
        self.limits = list(limits)
        self.terms = terms
        self._consensus = consensus
        self._process = process
        self._has_started = False
        context = NodeContext(node_id, process, terms, count(1), self._send_message)
        self.request_limiter = RequestLimiter(self.limits, terms, now)
        self.election = HolderElection(consensus, context)
        self.share_client = ShareClient(context, self.election, self.request_limiter, self.limits)
        self.lease_holder = LeaseHolder(context, self.limits)
        consensus.keys.append(REGISTER)
        consensus.listeners.append(self.value_chosen)

    def restore(self, now, stored_records):
        """Starts the component. It stores no records: the grants of a former process are left to expire."""
        self._has_started = True
        self.election.note_holder_alive(now)
        self.share_client.start(now)

    def change_limits(self, now, limits):
        """Applies the limits of a changed configuration."""
        self.limits = list(limits)
        self.request_limiter.change_limits(now, self.limits)
        self.lease_holder.change_limits(self.limits)
        self.share_client.change_limits(now, self.limits)

    def receive(self, now, sender, message):
        """Handles a message from another node; returns whether its kind belongs to this component."""
        if not messages.is_limits_message(message):
            return False
        self.tolerate_undecodable(self._handle, now, sender, message)
        return True

    def value_chosen(self, now, key, value):
        """Handles the choice of a new holder by consensus."""
        if key != REGISTER or not value:
            return
        self.election.note_holder_alive(now)
        self.share_client.holder_changed(now)
        holder = decode_record(value)
        if holder.process != self._process:
            self.election.step_down()
            self.lease_holder.stop()
        elif not self.lease_holder.tables:
            self.election.begin_term(now)
            self.lease_holder.start(now)
            self.log(
                "holder",
                term=holder.term,
                grants_in_ms=self.terms.takeover_wait(LimitKind.RATE) // TICKS_PER_MILLISECOND,
            )

    def operator_call(self, now, call, method, path, body):
        """Answers `GET /v1/limits`."""
        if method == b"GET" and path.rstrip(b"/") == self.call_paths[0]:
            self.answer_call(call, 200, self.status(now))
        else:
            self.answer_call(call, 404, "no such call")

    def next_action(self, now):
        """Returns the next action for the host, or None if there is none."""
        if not self._has_started:
            return None
        if not self.pending_actions:
            self.share_client.request_early_on_shortage(now)
            self.election.propose_if_due(now)
            self.election.renew_if_due(now)
            self.share_client.request_if_due(now, self._consensus.members)
        action = self.next_pending_action(now)
        if action is not None:
            return action
        wake_at = self.share_client.next_request_at
        if self.election.is_holder():
            wake_at = min(wake_at, self.election.next_renewal_at)
        return self.schedule_wake(now, wake_at)

    def status(self, now):
        """Returns the answer to `GET /v1/limits`, as a dict for JSON."""
        holder = self.election.holder
        sent_at = self.share_client.answered_request_sent_at
        return {
            "limits": [
                limit_status(now, limit, self.request_limiter.meters[limit.wire_id]) for limit in self.limits
            ],
            "holder": holder and holder.node,
            "term": self.election.term,
            "holds": self.election.is_certain_holder(now)
            and self.lease_holder.takeover_wait_is_over(None, now),
            "asked_ms_ago": None if sent_at is None else (now - sent_at) // TICKS_PER_MILLISECOND,
            # After this time without a grant, a disconnected node admits requests by its floors alone.
            "share_ends_ms": self.terms.lease // TICKS_PER_MILLISECOND,
            "next_holder_waits_ms": self.terms.takeover_wait(LimitKind.RATE) // TICKS_PER_MILLISECOND,
            "files_differ": self.share_client.limits_differ,
        }

    def _send_message(self, node, message):
        self.send(node, messages.encode(message))

    def _handle(self, now, sender, wire_message):
        message = messages.decode(wire_message)
        match message:
            case ShareRequest():
                self._handle_share_request(now, sender, message)
            case ShareGrant():
                self.share_client.receive_grant(now, message)
            case RenewalRequest():
                self.election.receive_renewal_request(now, sender, message)
            case RenewalAnswer():
                self.election.receive_renewal_answer(now, sender, message)

    def _handle_share_request(self, now, sender, request):
        """Passes a request to the lease holder if this process is confirmed as holder in the same term."""
        term = self.election.term
        if request.term < term:
            self._consensus.send_chosen_value(now, sender, REGISTER)
        if self.election.is_certain_holder(now) and request.term == term:
            self.lease_holder.receive_request(now, sender, request)
