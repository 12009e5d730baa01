from types import SimpleNamespace

from grebedyke.model.actions import Forward, Note, SendPeerMessage, WakeAt
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientLeft,
    EndpointListUnavailable,
    EndpointsChanged,
    PeerMessageReceived,
    ProbeAnswered,
    RequestArrived,
)
from grebedyke.model.operation import Operation
from grebedyke.model.outcome import Effect
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.model.settings import Capabilities, DispatcherSettings, PolicyParts, RequestLimits
from grebedyke.policy.cutoff_search import CutoffSearch
from grebedyke.policy.dispatcher import Dispatcher
from grebedyke.policy.endpoint_table import EndpointTable, EndpointTableSettings
from grebedyke.policy.retry_budget import RetryBudget
from grebedyke.policy.slow_start import SlowStartSettings
from grebedyke.policy.tenant_quotas import TenantQuotas
from grebedyke.service.batch_loop import BatchLoop
from grebedyke.service.dispatcher_host import DispatcherHost
from grebedyke.service.metrics import Metrics
from grebedyke.service.request_settings import RequestSettings
from grebedyke.wire import peer_codec
from grebedyke.wire.client_connection import ClientConnection
from grebedyke.wire.client_listener import ClientListener, ListenerSettings
from grebedyke.wire.connection_table import ConnectionLimits
from grebedyke.wire.executor_connection import ExecutorConnection
from grebedyke.wire.executor_pool import EndpointAddress, ExecutorPool, PoolSettings

HEALTHY = "healthy"


def operation(name, effect=Effect.IDEMPOTENT, group="zone", window=0):
    return Operation(
        name=name,
        effect=effect,
        idempotency_group=group,
        idempotency_window=window,
        latency_objective=2_500,
        objective_stretch=2.0,
        priority_weight=1.0,
    )


def dispatcher(
    effect=Effect.IDEMPOTENT,
    group="zone",
    nodes=1,
    me=0,
    cancels=True,
    asks=False,
    back=0,
    window=100_000,
    cross=0.0,
    progress=10_000,
    seed=7,
    probes=False,
    split=0,
    starts=True,
    tenants=None,
    budget=(0, 0, 0),
):
    operations = {"op": operation("op", effect, group, window)}
    random = SeededRandom(seed)
    table = EndpointTable(
        EndpointTableSettings(
            zone="a",
            node_number=me,
            node_count=nodes,
            slow_start=SlowStartSettings(initial_warmth=0.3, ramp_time=80_000, fall_multiple=3.0),
            prompt_wait=250,
            progress_interval=progress,
            crossing_price=cross,
            groups_per_zone=split,
        )
    )
    parts = PolicyParts(
        CutoffSearch(random, nodes), table, TenantQuotas(tenants or {}, nodes), RetryBudget(*budget)
    )
    settings = DispatcherSettings(
        operations=operations,
        peer_operations=[*operations.values()],
        scheduling_interval=50,
        weighs_by_work=True,
        capabilities=Capabilities(cancels, starts, probes, asks),
        limits=RequestLimits(5, back, 1_000),
    )
    return EventShorthands(random, parts, settings)


class EventShorthands(Dispatcher):
    """A dispatcher with a method an event, so that tests stay short."""

    def taken(self, now, id, operation, tenant, due, hint, slots):
        self.handle(now, RequestArrived(id, operation, tenant, due, hint, slots))
        return self.requests[id]

    def started(self, now, id, index, opened=False):
        self.handle(now, AttemptStarted(id, index, opened))

    def progressed(self, now, id, index):
        self.handle(now, AttemptProgressed(id, index))

    def ended(self, now, id, index, outcome, closed, free=None):
        self.handle(now, AttemptEnded(id, index, outcome, closed, free))

    def probed(self, now, id, outcome, free, held):
        self.handle(now, ProbeAnswered(id, outcome, free, held))

    def left(self, now, id):
        self.handle(now, ClientLeft(id))

    def listed(self, now, whole, rows):
        self.handle(now, EndpointsChanged(whole, rows))

    def unlisted(self, now):
        self.handle(now, EndpointListUnavailable())

    def heard(self, now, by, message):
        self.handle(now, PeerMessageReceived(by, message))


def rows(*ids, zone="a", state=HEALTHY, born=0):
    return [EndpointRow(i, zone, "std", 0, state, born, 1) for i in ids]


def pull(d, now, *kinds):
    """All actions of this instant, of the named types (all but wakes and notes when none is named)."""
    taken = []
    while (action := d.next_action(now)) is not None:
        taken.append(action)
    return [x for x in taken if (isinstance(x, kinds) if kinds else not isinstance(x, (WakeAt, Note)))]


class Several:
    """Nodes that get each other's datagrams after `delay`; `lost(by, to)`: which of them never arrive."""

    def __init__(self, nodes, rows_, lost=lambda by, to: False, delay=20, **more):
        self.all = [dispatcher(nodes=nodes, me=i, seed=i, split=1, **more) for i in range(nodes)]
        self.mail, self.lost, self.delay = [], lost, delay
        for d in self.all:
            d.listed(10, True, rows_)

    def go(self, start, end=None, step=10):
        """(now, node, action) of all but peer messages, in order."""
        done = []
        for now in range(start, (end or start) + 1, step):
            late = [m for m in self.mail if m[0] > now]
            for _, by, to, body in [m for m in self.mail if m[0] <= now]:
                self.all[to].heard(now, by, peer_codec.decode(body))
            self.mail = late
            for by, d in enumerate(self.all):
                for action in pull(d, now):
                    if not isinstance(action, SendPeerMessage):
                        done.append((now, by, action))
                    elif not self.lost(by, action.node):
                        body = peer_codec.encode(action.message)
                        self.mail.append((now + self.delay, by, action.node, body))
        return done


class Transport:
    """Stands in for a connection's transport: keeps what is written; `stuck`: the kernel takes nothing."""

    def __init__(self):
        self.written, self.closing, self.stuck, self.protocol = b"", False, False, None
        self.eof = False

    def set_write_buffer_limits(self, high):
        assert high == 0

    def write(self, data):
        if self.stuck:
            self.protocol.pause_writing()
        else:
            self.written += data

    def is_closing(self):
        return self.closing

    def close(self):
        self.closing = True

    abort = close

    def write_eof(self):
        self.eof = True

    def pause_reading(self):
        pass

    resume_reading = pause_reading


def join(connection):
    transport = Transport()
    transport.protocol = connection
    connection.connection_made(transport)
    return connection


def say(connection, data, step=None):
    """Gives data to a connection in pieces of `step` bytes."""
    while data:
        room = connection.get_buffer(-1)
        n = min(step or len(data), len(room), len(data))
        room[:n] = data[:n]
        connection.buffer_updated(n)
        data = data[n:]
    return connection


class Told:
    """In the dispatcher's place: keeps the events that it gets, decides nothing.

    `heard` has them as tuples: a name and the event's fields.
    """

    NAMES = {
        RequestArrived: "taken",
        AttemptStarted: "started",
        AttemptProgressed: "progressed",
        AttemptEnded: "ended",
        ProbeAnswered: "probed",
        ClientLeft: "left",
        EndpointsChanged: "listed",
        EndpointListUnavailable: "unlisted",
        PeerMessageReceived: "heard",
    }

    def __init__(self):
        self.heard = []

    def next_action(self, now):
        return None

    def handle(self, now, event):
        self.heard.append((self.NAMES[type(event)], *event))

    def __getattr__(self, name):
        return lambda now, *args: self.heard.append((name, *args))


class Loop:
    """In the event loop's place: what is soon runs when `go` says so, timers and connects never do."""

    def __init__(self):
        self.ready = []

    def call_soon(self, call):
        self.ready.append(call)

    def call_at(self, when, call):
        return SimpleNamespace(cancel=lambda: None)

    def create_task(self, work):
        work.close()
        return SimpleNamespace(cancel=lambda: None, add_done_callback=lambda call: None)

    def go(self):
        while self.ready:
            self.ready.pop(0)()


HAND_IN = (
    b"POST /op/k?q=1 HTTP/1.1\r\nX-Request-ID: r1\r\nX-Timeout-Ms: 4000\r\nIdempotency-Key: i1\r\n"
    b"Content-Length: 3\r\n\r\nabc"
)


NOW = 1_000_000


def still(loop):
    """A batch loop whose clock stands at NOW: a slow machine must not change what is tested."""
    batch = BatchLoop(loop, Metrics())
    batch.clock = lambda: NOW
    batch.pass_times.extend([NOW] * 3)
    return batch


def floor(most=9, lines=9, share=99):
    """A node without sockets: its listener, its dispatcher's host and executors s-1, s-2 with a line each."""
    loop, told = Loop(), Told()
    batch = still(loop)
    pool = ExecutorPool(loop, batch, PoolSettings(1_000_000, 2_500), lines)
    pool.duplicate_window = 0  # the clock stands still: no line cools down
    settings = RequestSettings(
        max_attempts=5,
        max_open_requests=100,
        probe_path=b"/alive",
        response_timeout=5_000,
        response_margin=200,
        scheduling_interval=50,
    )
    host = DispatcherHost(told, batch, pool, batch.metrics, settings)
    listener = ClientListener(
        batch,
        ListenerSettings({"op": 40_000}, 60_000),
        ConnectionLimits(most, share),
        on_request=host.requests.accept,
        on_job_update=host.job_updates.on_update,
        on_client_left=host.requests.client_left,
    )
    batch.next_action = told.next_action
    batch.carry_out = host.perform
    pool.update_endpoints(
        True, [EndpointAddress(name, ("127.0.0.9", 1), HEALTHY, 0) for name in ("s-1", "s-2")]
    )
    node = SimpleNamespace(
        loop=loop, told=told, batch=batch, pool=pool, host=host, listener=listener, lines=[]
    )
    for endpoint in pool.endpoints.values():
        node.lines.append(join(ExecutorConnection(endpoint)))
        endpoint.rest(node.lines[-1])
    node.client = lambda: join(ClientConnection(listener))
    node.hand_in = lambda: (say(node.client(), HAND_IN), loop.go())[0]
    node.forward = lambda name="s-1", allowed=9_000: (
        host.perform(batch.clock(), Forward(b"r1", name, allowed)),
        loop.go(),
    )
    node.ends = lambda: [x[:5] for x in told.heard if x[0] == "ended"]
    return node


def news(state, name="s-1", id="r1", more=""):
    body = f'{{"id":"{id}","from":"{name}","state":"{state}"{more}}}'.encode()
    return b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


__all__ = [
    "HAND_IN",
    "NOW",
    "Several",
    "dispatcher",
    "floor",
    "join",
    "news",
    "operation",
    "pull",
    "rows",
    "say",
    "still",
]
