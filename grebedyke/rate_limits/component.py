"""The fleet's limits as a component of a node: joins consensus, the lease holder and the node's limiter.

Why the sum of all shares and floors never exceeds a limit, and the bounds: docs/limits.md.
"""

from itertools import count

from grebedyke.consensus.component import Component
from grebedyke.rate_limits import messages
from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.rate_limits.holder_election import REGISTER, HolderElection, record_of
from grebedyke.rate_limits.lease_holder import LeaseHolder
from grebedyke.rate_limits.messages import PlaceAnswer, PlaceRequest, ShareGrant, ShareRequest
from grebedyke.rate_limits.node_context import NodeContext
from grebedyke.rate_limits.request_limiter import RequestLimiter
from grebedyke.rate_limits.share_client import ShareClient
from grebedyke.rate_limits.status import limit_status
from grebedyke.units import TICKS_PER_MILLISECOND


class RateLimits(Component):
    """The component of a node that keeps the fleet's limits.

    Attributes:
        request_limiter: The `RequestLimiter` that the policy asks for each request.
        election: The `HolderElection`.
        share_client: The `ShareClient`.
        lease_holder: The `LeaseHolder`.
        terms: The `LeaseTerms` of the fleet.
        limits: The limits in force.
    """

    call_paths = (b"/v1/limits",)

    def __init__(self, consensus, node_id, process, limits, terms, now):
        """Admits by the floors alone, from the first request on, until shares are granted.

        Args:
            consensus: The node's `Consensus`.
            node_id: This node.
            process: A number that no other process has.
            limits: The limits in force.
            terms: The `LeaseTerms` of the fleet.
            now: The tick at which this process begins.
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
        """Starts the component; it keeps no records, what a former process was granted is waited out."""
        self._has_started = True
        self.election.note_holder_alive(now)
        self.share_client.start(now)

    def change_limits(self, now, limits):
        """Puts the limits of a changed configuration in force."""
        self.limits = list(limits)
        self.request_limiter.change_limits(now, self.limits)
        self.lease_holder.change_limits(self.limits)
        self.share_client.change_limits(now, self.limits)

    def receive(self, now, sender, message):
        """Takes another node's message; returns whether its kind is one of this component's."""
        if not messages.is_limits_message(message):
            return False
        self.tolerate_undecodable(self._handle, now, sender, message)
        return True

    def value_chosen(self, now, key, value):
        """Listens to consensus for a new holder."""
        if key != REGISTER or not value:
            return
        self.election.note_holder_alive(now)
        self.share_client.holder_changed(now)
        holder = record_of(value)
        if holder.process != self._process:
            self.election.lose_place()
            self.lease_holder.stop()
        elif not self.lease_holder.tables:
            self.election.take_place(now)
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
        """Returns what is to be done next, None where nothing is."""
        if not self._has_started:
            return None
        if not self.pending_actions:
            self.share_client.hurry_if_short(now)
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
        """Returns the answer to operators, in its JSON form."""
        holder = self.election.holder
        sent_at = self.share_client.answered_request_sent_at
        return {
            "limits": [
                limit_status(now, limit, self.request_limiter.meters[limit.wire_id]) for limit in self.limits
            ],
            "holder": holder and holder.node,
            "term": self.election.term,
            "holds": self.election.is_certain_holder(now) and self.lease_holder.grants_limits_of(None, now),
            "asked_ms_ago": None if sent_at is None else (now - sent_at) // TICKS_PER_MILLISECOND,
            # A node that has been cut off goes on by its floor after that.
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
            case PlaceRequest():
                self.election.receive_place_request(now, sender, message)
            case PlaceAnswer():
                self.election.receive_place_answer(now, sender, message)

    def _handle_share_request(self, now, sender, request):
        """Passes a request on to the lease holder if this process is certain to be the one that is meant."""
        term = self.election.term
        if request.term < term:
            self._consensus.send_chosen_value(now, sender, REGISTER)
        if self.election.is_certain_holder(now) and request.term == term:
            self.lease_holder.receive_request(now, sender, request)
