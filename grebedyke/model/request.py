"""Requests that clients submit, as the dispatcher tracks them."""

from dataclasses import dataclass, field
from typing import NamedTuple

from grebedyke.model.endpoint import Endpoint
from grebedyke.model.operation import Operation
from grebedyke.model.refusal import RefusalReason


class Reservation(NamedTuple):
    """A slot that a group coordinator has granted and that is not in use yet."""

    endpoint: Endpoint
    granting_node: int


@dataclass(slots=True, eq=False, kw_only=True)
class Request:
    """A request from its arrival until its final answer and the end of its last attempt.

    Attributes:
        id: The client's identifier; (node, slot request number) for a request of another node.
        operation: The operation to run.
        tenant: The tenant; None if the client names none.
        arrived_at: Time at which this node received it.
        deadline: Time at which the client gives up.
        work_hint: The client's estimate of the work in ticks; 0 without an estimate.
        estimated_work: This node's estimate of the work, in ticks at the fleet's mean speed.
        slots: Slots that it occupies at an endpoint.
        origin_node: The node that received it from the client; None for this node.
        over_quota: Whether it exceeds its tenant's quota and is therefore placed after all others.
        first_arrived_at: Arrival time of the client's first try, inferred from the remaining client timeout.
        latest_start: Time after which no attempt is sent.
        retry_after: Ticks until a throttled client may retry, as stated by a limit; otherwise 0.
        attempts: All attempts, the oldest first.
        open_attempts: Number of attempts that have not ended.
        tier: The tier whose endpoints may run it.
        queued: Whether it waits at this node for an endpoint.
        queue_key: Sort key in the queue; decreases with the time of queueing.
        finished: Whether its final answer was given or its client has left.
        search_rounds: Number of probes or slot requests since its arrival, or since a reload changed the node
            numbers; a denial sent to its origin node counts as one.
        next_search_at: Time before which no further probe or slot request is sent.
        probed_endpoints: Endpoints probed for it in the current round.
        overdue_probes: Endpoints probed in earlier rounds that had not answered when the next round began, or
            the endpoints being probed for other requests if no other endpoint was left to probe.
        probing_other_zones: Whether endpoints of other zones were preferred for the last probe.
        slot_request_number: Number of its slot requests; None without coordinators.
        tried_groups: Groups whose coordinators were asked for a slot.
        asked_group: The group whose coordinator has yet to answer; None without an open slot request.
        placement_group: The group to place it in, coordinated by this node; None if it is not restricted.
        reservation: The slot granted for it; None without a grant.
        wait_reason: Why it was not sent when last considered; None before that.
    """

    id: object
    operation: Operation
    arrived_at: int
    deadline: int
    estimated_work: float
    work_hint: float
    slots: int
    over_quota: bool
    tenant: str | None = None
    origin_node: int | None = None
    first_arrived_at: int = 0
    latest_start: int = 0
    retry_after: int = 0
    attempts: list = field(default_factory=list)
    open_attempts: int = 0
    tier: int = 0
    queued: bool = False
    queue_key: int | None = None
    finished: bool = False
    search_rounds: int = 0
    next_search_at: int = 0
    probed_endpoints: list = field(default_factory=list)
    overdue_probes: list = field(default_factory=list)
    probing_other_zones: bool = False
    slot_request_number: int | None = None
    tried_groups: set = frozenset()
    asked_group: tuple | None = None
    placement_group: tuple | None = None
    reservation: Reservation | None = None
    wait_reason: RefusalReason | None = None

    def begin_slot_search(self, number):
        """Resets the state of its slot requests, under a new number."""
        self.slot_request_number = number
        self.tried_groups = set()
        self.next_search_at = 0
        self.asked_group = None
        self.placement_group = None
        self.reservation = None
