from types import SimpleNamespace

from grebedyke.model import (
    DEDUPLICATED,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    Bounds,
    Means,
    Operation,
    Parts,
    SeededRandom,
)
from grebedyke.policy.cutoff_search import CutoffSearch
from grebedyke.policy.dispatcher import Dispatcher
from grebedyke.policy.endpoint_table import EndpointTable
from grebedyke.policy.retry_budget import RetryBudget
from grebedyke.policy.tenant_quotas import TenantQuotas
from grebedyke.service.desk import Desk
from grebedyke.service.log import Gauges
from grebedyke.service.turn import Turn
from grebedyke.wire import words
from grebedyke.wire.client_connection import ClientConnection
from grebedyke.wire.client_listener import ClientListener, ListenerSettings
from grebedyke.wire.connection_table import ConnectionLimits
from grebedyke.wire.executor_connection import ExecutorConnection
from grebedyke.wire.executor_pool import EndpointAddress, ExecutorPool, PoolSettings

HEALTHY = "healthy"


def dispatcher(
    effect=IDEMPOTENT,
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
    ops = {"op": Operation("op", effect, group, window, 2_500, 2.0, 1.0)}
    chance = SeededRandom(seed)
    fleet = EndpointTable("a", me, nodes, 0.3, 80_000, 3.0, 250, progress, cross, split)
    parts = Parts(
        CutoffSearch(chance, nodes), fleet, TenantQuotas(tenants or {}, nodes), RetryBudget(*budget)
    )
    return Dispatcher(
        chance, parts, ops, 50, True, Means(cancels, starts, probes, asks), Bounds(5, back, 1_000)
    )


def rows(*ids, zone="a", state=HEALTHY, born=0):
    return [(i, zone, "std", 0, state, born, 1) for i in ids]


def pull(d, now, *kinds):
    """All decisions of this instant, of the named kinds (all but wakes and notes when none is named)."""
    taken = []
    while (decision := d.decide(now)) is not None:
        taken.append(decision)
    return [x for x in taken if (x[0] in kinds if kinds else x[0] not in ("wake", "note"))]


class Several:
    """Nodes that hear each other's packed words after `delay`; `lost(by, to)`: which of them never arrive."""

    def __init__(self, nodes, rows_, lost=lambda by, to: False, delay=20, **more):
        self.all = [dispatcher(nodes=nodes, me=i, seed=i, split=1, **more) for i in range(nodes)]
        self.mail, self.lost, self.delay = [], lost, delay
        for d in self.all:
            d.listed(10, True, rows_)

    def go(self, start, end=None, step=10):
        """(now, node, decision) of all but words, in order."""
        done = []
        for now in range(start, (end or start) + 1, step):
            late = [m for m in self.mail if m[0] > now]
            for _, by, to, body in [m for m in self.mail if m[0] <= now]:
                words.deliver(self.all[to], now, by, body)
            self.mail = late
            for by, d in enumerate(self.all):
                for kind, *rest in pull(d, now):
                    if kind != "tell":
                        done.append((now, by, (kind, *rest)))
                    elif not self.lost(by, rest[0]):
                        self.mail.append((now + self.delay, by, rest[0], words.pack(*rest[1:])))
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
    """In the module's place: keeps what it is told, decides nothing."""

    def __init__(self):
        self.heard = []

    def decide(self, now):
        return None

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
    """A turn whose clock stands at NOW: a slow machine must not change what is tested."""
    turn = Turn(loop, Gauges())
    turn.clock = lambda: NOW
    turn.marks.extend([NOW] * 3)
    return turn


def floor(most=9, lines=9, share=99):
    """A node without sockets: its door, its desk and executors s-1, s-2 with a line each."""
    loop, told = Loop(), Told()
    turn = still(loop)
    pool = ExecutorPool(loop, turn, PoolSettings(1_000_000, 2_500), lines)
    pool.duplicate_window = 0  # the clock stands still: no line cools down
    desk = Desk(told, turn, pool, turn.gauges, 5, 100, b"/alive", 5_000, 200, 50)
    door = ClientListener(
        turn,
        ListenerSettings({"op": 40_000}, 60_000),
        ConnectionLimits(most, share),
        on_request=desk.take,
        on_job_update=desk.news,
        on_client_left=desk.left,
    )
    turn.decide, turn.carry = told.decide, desk.do
    pool.update_endpoints(
        True, [EndpointAddress(name, ("127.0.0.9", 1), HEALTHY, 0) for name in ("s-1", "s-2")]
    )
    node = SimpleNamespace(loop=loop, told=told, turn=turn, pool=pool, desk=desk, door=door, lines=[])
    for endpoint in pool.endpoints.values():
        node.lines.append(join(ExecutorConnection(endpoint)))
        endpoint.rest(node.lines[-1])
    node.client = lambda: join(ClientConnection(door))
    node.hand_in = lambda: (say(node.client(), HAND_IN), loop.go())[0]
    node.forward = lambda name="s-1", allowed=9_000: (
        desk.do(turn.clock(), ("forward", b"r1", name, allowed)),
        loop.go(),
    )
    node.ends = lambda: [x[:5] for x in told.heard if x[0] == "ended"]
    return node


def news(state, name="s-1", id="r1", more=""):
    body = f'{{"id":"{id}","from":"{name}","state":"{state}"{more}}}'.encode()
    return b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


__all__ = [
    "DEDUPLICATED",
    "HAND_IN",
    "IDEMPOTENT",
    "NON_IDEMPOTENT",
    "NOW",
    "Several",
    "dispatcher",
    "floor",
    "join",
    "news",
    "pull",
    "rows",
    "say",
    "still",
]
