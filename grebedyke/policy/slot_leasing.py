"""Rule: a single node, the coordinator, grants the slots of a group of endpoints.

If many nodes share endpoints, each of them alone would see room although together they exceed it. The node of
a request asks the coordinator of the group of a randomly drawn endpoint for a slot; if a coordinator does not
answer, it is treated as dead and the next node takes its place. A granted slot is used at once and released
at the end of the attempt; without any message its lease expires. Times are ticks.
"""

from collections import deque

from grebedyke.model.actions import SendPeerMessage
from grebedyke.model.outcome import Outcome
from grebedyke.model.peer_messages import SlotGrant, SlotReleased, SlotRequest
from grebedyke.model.request import Reservation
from grebedyke.units import TICKS_PER_SECOND

ANSWER_TIMEOUT = TICKS_PER_SECOND // 10
LEASE = 4 * TICKS_PER_SECOND
# Numbers of slot requests have four bytes in peer messages. The first is drawn at random from the lower half,
# so that a restarted node is unlikely to reuse recent numbers.
NUMBER_RANGE = 2**32
INITIAL_NUMBER_RANGE = 2**31


class SlotLeasing:
    """Sends slot requests of this node and leases slots to peers.

    Attributes:
        searches: Requests that need a slot, by the number of the slot request.
        leases: (expiry time, attempt) of the slots granted to peers, the earliest expiry first.
    """

    def __init__(self, context, eligibility, selection):
        self._context = context
        self._eligibility = eligibility
        self._selection = selection
        self._last_number = int(context.random.draw() * INITIAL_NUMBER_RANGE)
        self.searches = {}
        self.leases = deque()

    def begin_search(self, request):
        """Starts the slot search for a request of this node."""
        self._last_number = (self._last_number + 1) % NUMBER_RANGE
        request.begin_slot_search(self._last_number)
        self.searches[self._last_number] = request

    def end_search(self, request):
        """Ends the slot search of a request and releases the slot reserved for it, if any."""
        self.searches.pop(request.slot_request_number, None)
        if request.reservation:
            self._release_unused(request.reservation.granting_node, request.slot_request_number)

    def is_slot_wanted(self, request, now):
        """Returns whether to send a slot request for the request now."""
        is_own = request.origin_node is None
        return (
            self._context.uses_coordinators
            and is_own
            and not request.reservation
            and now >= request.next_search_at
        )

    def request_slot(self, request, now):
        """Requests a slot from the coordinator of a randomly drawn endpoint.

        Returns:
            The action, or None if there is no coordinator to ask or this node coordinates the group.
        """
        context = self._context
        endpoints = context.endpoints
        if request.asked_group:
            # The answer to the previous slot request is overdue.
            endpoints.coordinators.on_answer_timeout(request.asked_group, now)
            request.tried_groups.discard(request.asked_group)
            request.asked_group = None
        group = self._draw_group(request, now)
        if group is None:
            return None
        request.tried_groups.add(group)
        coordinator = endpoints.coordinators.node_for(group, now)
        if coordinator == endpoints.node_number:
            request.placement_group = group
            request.next_search_at = now + 1
            if not request.search_rounds:
                request.over_quota = context.quotas.count_against_quota(
                    now, request.tenant, len(endpoints.groups)
                )
            request.search_rounds += 1
            return None
        request.next_search_at = now + ANSWER_TIMEOUT
        operation_index = context.settings.peer_operation_index(request.operation)
        if operation_index is None:
            # Peers cannot place it any more, but a group coordinated by this node may still be drawn.
            request.next_search_at = now + 1
            return None
        request.asked_group = group
        message = self._slot_request(request, operation_index, group, now)
        request.search_rounds += 1
        return SendPeerMessage(coordinator, message)

    def on_grant(self, now, node, message):
        """Reserves a granted slot; this node's own endpoint list takes precedence over the grant (rule 3)."""
        context = self._context
        request = self.searches.get(message.number)
        endpoint = context.endpoints.by_rank.get(message.rank)
        usable = request and endpoint and not request.reservation and endpoint.state == "healthy"
        if usable and self._eligibility.is_allowed(request, endpoint, now):
            request.reservation = Reservation(endpoint, node)
            context.change_count += 1
        else:
            self._release_unused(node, message.number)

    def on_denial(self, now, node, message):
        """Handles a denial: the request waits at that coordinator, and another one is asked at once."""
        request = self.searches.get(message.number)
        if request and request.asked_group:
            request.asked_group = None
            request.next_search_at = now
            request.over_quota = message.over_quota
            self._context.change_count += 1

    def grant(self, attempt, now):
        """Leases the slot of an attempt to the peer and returns the action that sends the grant."""
        request = attempt.request
        attempt.start_allowance = 2 * ANSWER_TIMEOUT
        self.leases.append((now + LEASE, attempt))
        return SendPeerMessage(request.origin_node, SlotGrant(request.id[1], attempt.endpoint.rank))

    def expired(self, now):
        """Yields the attempts of peers whose lease has expired without a report.

        Possible causes are a lost message, a dead node or an endpoint that hangs.
        """
        while self.leases and self.leases[0][0] <= now:
            attempt = self.leases.popleft()[1]
            if not attempt.ended and now < attempt.last_report_at + LEASE:
                self.leases.append((now + LEASE, attempt))
            elif not attempt.ended:
                yield attempt

    def _draw_group(self, request, now):
        """Returns the group of a random endpoint in this node's zone, later in any zone; None without one."""
        endpoints = self._context.endpoints
        cross_from = self._selection.cross_zone_time(request)
        untried = [
            group
            for group, members in endpoints.groups.items()
            if group not in request.tried_groups
            for _ in members
        ]
        pool = [group for group in untried if group[0] == endpoints.zone]
        if not pool and now >= cross_from:
            pool = untried
        request.next_search_at = int(cross_from) + 1 if untried and not pool else request.latest_start
        return self._context.random.pick(pool) if pool else None

    def _slot_request(self, request, operation_index, group, now):
        context = self._context
        return SlotRequest(
            number=request.slot_request_number,
            rank=context.endpoints.groups[group][0].rank,
            time_left=request.deadline - now,
            estimated_work=request.estimated_work,
            tenant=[*context.quotas.tenants, request.tenant].index(request.tenant),
            slots=request.slots,
            tier=request.tier,
            operation=operation_index,
            is_repeated=request.search_rounds > 0,
            over_quota=request.over_quota,
        )

    def _release_unused(self, node, number):
        self._context.send_to_peer(node, SlotReleased(number, Outcome.NEVER_SENT, None))
