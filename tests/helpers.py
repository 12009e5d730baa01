from grebedyke.model.actions import LogMessage, SendPeerMessage, WakeAt
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientLeft,
    EndpointListUnavailable,
    EndpointsChanged,
    PeerMessageReceived,
    ProbeEnded,
    RequestArrived,
)
from grebedyke.model.operation import Operation
from grebedyke.model.outcome import Idempotency
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.model.settings import Capabilities, DispatcherSettings, PolicyParts, RequestLimits
from grebedyke.policy.cutoff_search import CutoffSearch
from grebedyke.policy.dispatcher import Dispatcher
from grebedyke.policy.endpoint_table import EndpointTable, EndpointTableSettings
from grebedyke.policy.retry_budget import RetryBudget
from grebedyke.policy.slow_start import SlowStartSettings
from grebedyke.policy.tenant_quotas import TenantQuotas
from grebedyke.wire import peer_codec
from grebedyke.wire.list_update import ListUpdate, ListVersion

HEALTHY = "healthy"
# Where updates of the endpoint list come from.
DISCOVERY = ("127.0.0.1", 1)


def operation(name, idempotency=Idempotency.IDEMPOTENT, group="zone", window=0):
    return Operation(
        name=name,
        idempotency=idempotency,
        idempotency_group=group,
        idempotency_window=window,
        latency_objective=2_500,
        objective_stretch=2.0,
        priority_weight=1.0,
    )


def dispatcher(
    idempotency=Idempotency.IDEMPOTENT,
    group="zone",
    node_count=1,
    node_number=0,
    cancels=True,
    polls_list=False,
    max_retry_after=0,
    window=100_000,
    crossing_price=0.0,
    progress_interval=10_000,
    seed=7,
    probes=False,
    groups_per_zone=0,
    start_notices=True,
    tenants=None,
    budget=(0, 0, 0),
):
    operations = {"op": operation("op", idempotency, group, window)}
    random = SeededRandom(seed)
    table = EndpointTable(
        EndpointTableSettings(
            zone="a",
            node_number=node_number,
            node_count=node_count,
            slow_start=SlowStartSettings(initial_warmth=0.3, ramp_time=80_000, fall_multiple=3.0),
            prompt_wait=250,
            progress_interval=progress_interval,
            crossing_price=crossing_price,
            groups_per_zone=groups_per_zone,
        )
    )
    parts = PolicyParts(
        CutoffSearch(random, node_count), table, TenantQuotas(tenants or {}, node_count), RetryBudget(*budget)
    )
    settings = DispatcherSettings(
        operations=operations,
        peer_operations=[*operations.values()],
        scheduling_interval=50,
        weighs_by_work=True,
        capabilities=Capabilities(cancels, start_notices, probes, polls_list),
        limits=RequestLimits(5, max_retry_after, 1_000),
    )
    return DispatcherWithEvents(random, parts, settings)


class DispatcherWithEvents(Dispatcher):
    """A dispatcher with a method for each event, to keep tests short."""

    def request_arrived(self, now, id, operation, tenant, deadline, work_hint, slots):
        self.handle(now, RequestArrived(id, operation, tenant, deadline, work_hint, slots))
        return self.requests[id]

    def attempt_started(self, now, id, index, opened_connection=False):
        self.handle(now, AttemptStarted(id, index, opened_connection))

    def attempt_progressed(self, now, id, index):
        self.handle(now, AttemptProgressed(id, index))

    def attempt_ended(self, now, id, index, outcome, request_closed, free_slots=None):
        self.handle(now, AttemptEnded(id, index, outcome, request_closed, free_slots))

    def probe_answered(self, now, id, outcome, free_slots, jobs):
        self.handle(now, ProbeEnded(id, outcome, free_slots, jobs))

    def client_left(self, now, id):
        self.handle(now, ClientLeft(id))

    def endpoints_changed(self, now, replaces_all, rows):
        self.handle(now, EndpointsChanged(replaces_all, rows))

    def endpoint_list_unavailable(self, now):
        self.handle(now, EndpointListUnavailable())

    def peer_message_received(self, now, node, message):
        self.handle(now, PeerMessageReceived(node, message))


def rows(*ids, zone="a", state=HEALTHY, started_at=0):
    return [EndpointRow(i, zone, "std", 0, state, started_at, 1) for i in ids]


def take_actions(d, now, *kinds):
    """Returns the actions of this instant of the given types, by default all but wakes and log lines."""
    actions = []
    while (action := d.next_action(now)) is not None:
        actions.append(action)
    return [
        x for x in actions if (isinstance(x, kinds) if kinds else not isinstance(x, (WakeAt, LogMessage)))
    ]


class ConnectedNodes:
    """Nodes that exchange their datagrams in memory.

    Attributes:
        nodes: The dispatchers, by node number.
        messages: (arrival time, sender, receiver, body) of the datagrams on their way.
        is_lost: Decides by sender and receiver whether a datagram is lost.
        delay: Ticks from the send of a datagram to its arrival.
    """

    def __init__(self, node_count, rows_, is_lost=lambda sender, receiver: False, delay=20, **more):
        self.nodes = [
            dispatcher(node_count=node_count, node_number=i, seed=i, groups_per_zone=1, **more)
            for i in range(node_count)
        ]
        self.messages, self.is_lost, self.delay = [], is_lost, delay
        for d in self.nodes:
            d.endpoints_changed(10, True, rows_)

    def run(self, start, end=None, step=10):
        """Advances the nodes from `start` to `end`, by `step` ticks at a time, and delivers their datagrams.

        Returns:
            (now, node, action) of all actions but peer messages, in order.
        """
        done = []
        for now in range(start, (end or start) + 1, step):
            pending = [m for m in self.messages if m[0] > now]
            for _, sender, receiver, body in [m for m in self.messages if m[0] <= now]:
                self.nodes[receiver].peer_message_received(now, sender, peer_codec.decode(body))
            self.messages = pending
            for sender, d in enumerate(self.nodes):
                for action in take_actions(d, now):
                    if not isinstance(action, SendPeerMessage):
                        done.append((now, sender, action))
                    elif not self.is_lost(sender, action.node):
                        body = peer_codec.encode(action.message)
                        self.messages.append((now + self.delay, sender, action.node, body))
        return done


__all__ = [
    "ConnectedNodes",
    "dispatcher",
    "operation",
    "take_actions",
    "rows",
]


def list_update(*rows, is_complete=False, version=None, after=None):
    """Returns an update of the endpoint list with these `ListedEndpoint`s."""
    return ListUpdate(ListVersion(DISCOVERY, version), after, is_complete, [*rows])
