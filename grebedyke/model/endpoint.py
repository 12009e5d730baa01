"""An executor as this node addresses it."""

from math import inf

FIRST_CREDIT = 2.0
LEAST_WEIGHT = 0.01


class Endpoint:
    """An executor as this node addresses it: its entry of the list, its load and its health.

    Attributes:
        id: The identifier by which the host addresses it.
        rank: Hash of the identifier: orders endpoints alike on all nodes and names them in peer messages.
        zone: Failure domain.
        kind: Machine type.
        cell: Stripe within the zone.
        weight: Share of traffic by the list, relative to the other endpoints.
        list_state: What the list says: "healthy", "draining" or "gone".
        state: The same, or "banned" where an operator has taken it out.
        started_at: When its process started; -inf where that is long past.
        announced_at: When the list first showed this process to this node.
        tier: 0 for the tier of short jobs, 1 for the one above.
        group: (zone, hash class) under which one node coordinates it; None without coordination.
        in_flight: Open attempts by (request id, attempt index).
        slots_in_use: Slots of all open attempts.
        credit: How many slots this node may have in use there.
        finished_work: Decayed sum of the work finished there, in ticks at mean speed.
        busy_time: Decayed sum of the running times for that work, in ticks.
        speed: Work done per tick of running time.
        expected_wait: Ticks that an attempt is expected to wait there before it starts.
        reported_wait: The wait by the last load report, in ticks.
        start_floors: Least time from sending to start in its zone, in ticks: over an open connection, over a
            new one. Shared by all endpoints of the zone.
        last_alive_at: When it last showed that it is alive.
        last_sent_at: When this node last sent an attempt there.
        probe_sent_at: When the open probe was sent; 0 without one.
        ejected_until: Left out until then after failures or late starts.
        consecutive_failures: Failures since the last success.
        rejected_until: By operation, until when it is not asked, having turned that operation away.
        cut_at: When an attempt was cut there while others waited, until it shows whether the slot was freed;
            otherwise 0.
        no_reduction_until: No further reduction of credit before then.
    """

    __slots__ = (
        "announced_at",
        "busy_time",
        "cell",
        "consecutive_failures",
        "credit",
        "cut_at",
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
        self.credit = FIRST_CREDIT
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
        self.cut_at = 0
        self.no_reduction_until = 0

    def take_row(self, row):
        """Takes over an `EndpointRow` of the list; a later start is a new process with a clean record."""
        if self.started_at is not None and row.started_at and row.started_at > self.started_at:
            self.forget_health()
        self.zone = row.zone
        self.kind = row.kind
        self.cell = row.cell
        self.list_state = row.state
        self.weight = max(row.weight, LEAST_WEIGHT)
        self.started_at = row.started_at or -inf  # 0: long past

    def forget_health(self):
        """What was known of its health is of the process before the restart."""
        self.ejected_until = 0
        self.consecutive_failures = 0
        self.rejected_until = {}
        self.credit = min(self.credit, FIRST_CREDIT)
