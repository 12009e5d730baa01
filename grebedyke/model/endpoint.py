"""An executor as this node addresses it."""

from math import inf

INITIAL_CREDIT = 2.0
MIN_WEIGHT = 0.01


class Endpoint:
    """An executor as this node addresses it: its entry in the endpoint list, its load and its health.

    Attributes:
        id: The identifier by which the host addresses it.
        rank: Hash of the identifier; orders endpoints identically on all nodes and identifies them in peer
            messages.
        zone: Failure domain.
        kind: Machine type.
        cell: Stripe within the zone.
        weight: Share of traffic as stated by the list, relative to the other endpoints.
        list_state: State in the list: "healthy", "draining" or "gone".
        state: As `list_state`, or "banned" if it is healthy in the list and excluded at this node, by an
            operator's ban or by a component of the fleet.
        started_at: Start time of its process; -inf if long past.
        announced_at: Time at which this node first saw this process in the list.
        tier: 0 for the tier of short jobs, 1 for the tier above.
        group: (zone, rank modulo the number of groups per zone); None without coordinators.
        in_flight: Open attempts by (request id, attempt index).
        slots_in_use: Slots of all open attempts.
        credit: Number of slots this node may have in use there (concurrency credit).
        finished_work: Decayed sum of the work finished there, in ticks at mean speed.
        busy_time: Decayed sum of the running times of that work, in ticks.
        speed: Work done per tick of running time.
        expected_wait: Ticks an attempt is expected to wait there before it starts.
        reported_wait: Wait according to the last load report, in ticks.
        start_floors: Least times from send to start in its zone, in ticks, indexed by whether a connection
            had to be opened. Shared by all endpoints of the zone.
        last_alive_at: Time of its last sign of life.
        last_sent_at: Time at which this node last sent it an attempt.
        probe_sent_at: Time at which the open probe was sent; 0 without an open probe.
        ejected_until: Time until which it gets no attempts after failures, or after a start at a credit below
            one (`ConcurrencyCredit.pause_after_start`).
        consecutive_failures: Failures since the last success.
        rejected_until: By operation, the time until which it gets no attempts of that operation because it
            rejected one.
        unobserved_cancel_at: Time at which an attempt there was cancelled at its cutoff while others waited,
            until the start of an attempt that was sent before shows whether the slot was freed; otherwise 0.
        no_reduction_until: Time before which its credit is not reduced again.
    """

    __slots__ = (
        "announced_at",
        "busy_time",
        "cell",
        "consecutive_failures",
        "credit",
        "ejected_until",
        "expected_wait",
        "finished_work",
        "group",
        "id",
        "in_flight",
        "kind",
        "last_alive_at",
        "last_sent_at",
        "list_state",
        "no_reduction_until",
        "probe_sent_at",
        "rank",
        "rejected_until",
        "reported_wait",
        "slots_in_use",
        "speed",
        "start_floors",
        "started_at",
        "state",
        "tier",
        "unobserved_cancel_at",
        "weight",
        "zone",
    )

    def __init__(self, id, rank):
        self.id = id
        self.rank = rank
        self.tier = 0
        self.group = None
        self.started_at = None
        self.announced_at = 0
        self.in_flight = {}
        self.slots_in_use = 0
        self.credit = INITIAL_CREDIT
        self.finished_work = 0.0
        self.busy_time = 0.0
        self.speed = 1.0
        self.expected_wait = 0.0
        self.reported_wait = 0.0
        self.start_floors = [inf, inf]
        self.last_alive_at = -inf
        self.last_sent_at = -inf
        self.probe_sent_at = 0
        self.ejected_until = 0
        self.consecutive_failures = 0
        self.rejected_until = {}
        self.unobserved_cancel_at = 0
        self.no_reduction_until = 0

    def update_from_row(self, row):
        """Applies an `EndpointRow`; a later start time means a new process, so its health state is reset."""
        if self.started_at is not None and row.started_at and row.started_at > self.started_at:
            self.reset_health()
        self.zone = row.zone
        self.kind = row.kind
        self.cell = row.cell
        self.list_state = row.state
        self.weight = max(row.weight, MIN_WEIGHT)
        self.started_at = row.started_at or -inf  # 0 means long past

    def reset_health(self):
        """Discards the health state learned from the process before the restart."""
        self.ejected_until = 0
        self.consecutive_failures = 0
        self.rejected_until = {}
        self.credit = min(self.credit, INITIAL_CREDIT)
