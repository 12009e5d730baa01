"""A request: what a client hands in and waits for."""

from dataclasses import dataclass, field
from typing import NamedTuple

from grebedyke.model.endpoint import Endpoint
from grebedyke.model.operation import Operation
from grebedyke.model.refusal import RefusalReason


class Reservation(NamedTuple):
    """A slot that a group coordinator has granted and that is not used yet."""

    endpoint: Endpoint
    granting_node: int


@dataclass(slots=True, eq=False, kw_only=True)
class Request:
    """A request from its arrival until its final answer and the end of its last attempt.

    Attributes:
        id: The client's identifier; for another node's request (node, slot request number).
        operation: What is to be run.
        tenant: On whose behalf; None where the client does not say.
        arrived_at: When this node got it.
        deadline: When the client gives up.
        work_hint: The client's estimate of the work in ticks; 0 without one.
        estimated_work: What this node reckons with, in ticks at the fleet's mean speed.
        slots: Slots that it takes at an endpoint.
        origin_node: The node whose request it is; None: this node's own.
        over_quota: Beyond its tenant's share, so behind the rest.
        first_arrived_at: When the client's first try came, reckoned from what is left of its timeout.
        latest_start: After it no attempt is begun.
        retry_after: When a throttled client may come back, in ticks, where a limit says so; otherwise 0.
        attempts: All attempts, the oldest first.
        open_attempts: How many of them have not ended.
        tier: The tier whose endpoints may run it.
        queued: It waits at this node for an endpoint.
        queue_key: Position in the queue: the lower the later it came.
        finished: Its final answer is given, or its client has left.
        search_rounds: Probes or slot requests since it was queued.
        next_search_at: No further probe or slot request before then.
        probed_endpoints: Endpoints probed for it in the present round.
        overdue_probes: Endpoints whose answers to probes of earlier rounds had not come when the next began.
        probing_other_zones: Whether the last probe went to another zone.
        slot_request_number: Number of its slot requests; None without coordinators.
        tried_groups: Groups whose coordinators were asked for a slot.
        asked_group: The group whose coordinator owes an answer; None without one.
        placement_group: The group that this node coordinates and places it in; None: not limited to one.
        reservation: The slot that was granted for it; None without one.
        obstacle: What kept it from being sent when it was last looked at; None before.
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
    obstacle: RefusalReason | None = None

    def begin_slot_search(self, number):
        """Starts over with slot requests, under a new number."""
        self.slot_request_number = number
        self.tried_groups = set()
        self.next_search_at = 0
        self.asked_group = None
        self.placement_group = None
        self.reservation = None
