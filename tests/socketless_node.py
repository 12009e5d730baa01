"""A node's connections and request table with fake sockets, event loop and dispatcher, and a fixed clock."""

import socket
from types import SimpleNamespace

from grebedyke.model.actions import Forward
from grebedyke.model.events import AttemptEnded
from grebedyke.service.batch_loop import BatchLoop
from grebedyke.service.dispatcher_host import DispatcherHost
from grebedyke.service.metrics import Metrics
from grebedyke.service.request_settings import RequestSettings
from grebedyke.wire.client_connection import ClientConnection
from grebedyke.wire.client_listener import ClientListener, ListenerSettings
from grebedyke.wire.connection_table import ConnectionLimits
from grebedyke.wire.endpoint_rows import HEALTHY
from grebedyke.wire.executor_connection import ExecutorConnection
from grebedyke.wire.executor_pool import EndpointAddress, ExecutorPool, PoolSettings
from grebedyke.wire.message_memory import MessageMemory

# Time of the fixed clock, in ticks.
NOW = 1_000_000
# A socket that never has unread bytes, and its peer, which keeps it open.
QUIET_SOCKET, QUIET_SOCKET_PEER = socket.socketpair()
# A client's request with a client timeout of 4 s.
REQUEST = (
    b"POST /op/k?q=1 HTTP/1.1\r\nX-Request-ID: r1\r\nX-Timeout-Ms: 4000\r\nIdempotency-Key: i1\r\n"
    b"Content-Length: 3\r\n\r\nabc"
)

REQUEST_SETTINGS = RequestSettings(
    max_attempts=5,
    max_open_requests=100,
    probe_path=b"/alive",
    response_timeout=5_000,
    response_margin=200,
    scheduling_interval=50,
    identifier_retention=50_000,
)


def request(number):
    """Returns the bytes of a client's request with the identifier `r<number>`."""
    return REQUEST.replace(b"r1", b"r%d" % number)


def call_back_message(state, name="s-1", request_id="r1", more=""):
    """Returns the bytes of an executor's call-back on a job; `more` adds fields to its JSON."""
    body = f'{{"id":"{request_id}","from":"{name}","state":"{state}"{more}}}'.encode()
    return b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class FakeTransport:
    """Replaces a connection's transport.

    Attributes:
        written: The written bytes.
        closing: Whether the connection is closed.
        ended_sending: Whether only the sending side is closed.
        stuck: Whether the kernel accepts no written bytes.
        unsent: Number of bytes that it has not accepted.
        socket: The socket, of which a connection asks whether it has unread bytes.
        protocol: The connection.
    """

    def __init__(self, protocol):
        self.written = b""
        self.closing = False
        self.ended_sending = False
        self.stuck = False
        self.unsent = 0
        self.protocol = protocol
        self.socket = QUIET_SOCKET

    def get_extra_info(self, name):
        return {"socket": self.socket, "peername": ("127.0.0.7", 1)}[name]

    def set_write_buffer_limits(self, high):
        assert high == 0

    def write(self, data):
        if self.stuck:
            self.unsent += len(data)
            self.protocol.pause_writing()
        else:
            self.written += data

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return self.unsent

    def close(self):
        self.closing = True

    abort = close

    def write_eof(self):
        self.ended_sending = True

    def pause_reading(self):
        pass

    resume_reading = pause_reading


def connect(connection):
    """Attaches a transport to a connection, and returns the connection."""
    connection.connection_made(FakeTransport(connection))
    return connection


def receive(connection, data, step=None):
    """Passes data to a connection, in pieces of `step` bytes, and returns the connection."""
    while data:
        buffer = connection.get_buffer(-1)
        count = min(step or len(data), len(buffer), len(data))
        buffer[:count] = data[:count]
        connection.buffer_updated(count)
        data = data[count:]
    return connection


class RecordingDispatcher:
    """Replaces the dispatcher; records events and returns no actions.

    Attributes:
        events: The received events.
    """

    def __init__(self):
        self.events = []

    def next_action(self, now):
        return None

    def handle(self, now, event):
        self.events.append(event)

    def set_banned(self, now, name, is_banned, was_restarted=True):
        return None


class CallRecorder:
    """Records calls of any method.

    Attributes:
        calls: For each call its name and its arguments after the time.
    """

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda now, *arguments: self.calls.append((name, *arguments))


class FakeEventLoop:
    """Replaces the event loop: runs scheduled calls in `run_ready`; timers and connects never complete."""

    def __init__(self):
        self.ready = []

    def call_soon(self, call):
        self.ready.append(call)

    def call_at(self, when, call):
        return SimpleNamespace(cancel=lambda: None)

    def add_reader(self, sock, call):
        pass

    def create_task(self, coroutine):
        coroutine.close()
        return SimpleNamespace(cancel=lambda: None, add_done_callback=lambda call: None)

    def run_ready(self):
        while self.ready:
            self.ready.pop(0)()


def fixed_clock_batch_loop(loop):
    """Returns a batch loop with a fixed clock, so the speed of the machine does not affect the test."""
    batch_loop = BatchLoop(loop, Metrics())
    batch_loop.clock = lambda: NOW
    batch_loop.pass_times.extend([NOW] * 3)
    return batch_loop


class SocketlessNode:
    """A node without dispatching decisions, with executors s-1 and s-2 and an idle connection to each.

    Attributes:
        loop: The `FakeEventLoop`.
        dispatcher: The `RecordingDispatcher`.
        batch: The node's batch loop.
        pool: The `ExecutorPool`.
        host: The `DispatcherHost`.
        listener: The `ClientListener`.
        connections: The idle connections to s-1 and s-2.
    """

    def __init__(
        self,
        max_connections=9,
        max_executor_connections=9,
        max_client_connections=99,
        max_message_bytes=1_000_000,
    ):
        self.loop = FakeEventLoop()
        self.dispatcher = RecordingDispatcher()
        self.batch = fixed_clock_batch_loop(self.loop)
        self.pool = ExecutorPool(
            self.loop, self.batch, PoolSettings(1_000_000, 2_500), max_executor_connections
        )
        self.pool.duplicate_window = 0  # it would never elapse on a fixed clock
        self.host = DispatcherHost(
            self.dispatcher, self.batch, self.pool, self.batch.metrics, REQUEST_SETTINGS
        )
        self.listener = ClientListener(
            self.batch,
            ListenerSettings({"op": 40_000}, 60_000),
            ConnectionLimits(max_connections, max_client_connections),
            MessageMemory(max_message_bytes),
            on_request=self.host.requests.accept,
            on_job_update=self.host.job_updates.on_update,
            is_request_known=self.host.requests.is_request_known,
            on_client_left=self.host.requests.client_left,
        )
        self.host.job_updates.pass_on = lambda update: None
        self.batch.next_action = self.dispatcher.next_action
        self.batch.carry_out = self.host.perform
        address = ("127.0.0.9", 1)
        self.pool.update_endpoints(
            True, [EndpointAddress(name, address, HEALTHY, 0) for name in ("s-1", "s-2")]
        )
        self.connections = [self.connect_executor(name) for name in ("s-1", "s-2")]

    def connect_executor(self, name="s-1"):
        """Opens and returns an idle connection to an executor."""
        endpoint = self.pool.endpoints[name]
        connection = connect(ExecutorConnection(endpoint))
        endpoint.release(connection)
        return connection

    def run(self):
        """Runs the scheduled batches."""
        self.loop.run_ready()

    def client(self):
        """Opens and returns a client connection."""
        return connect(ClientConnection(self.listener))

    def send_request(self, data=REQUEST):
        """Sends a request on a new client connection, and returns the connection."""
        client = receive(self.client(), data)
        self.run()
        return client

    def send_call_back(self, data):
        """Sends an executor's call-back on a new connection, and returns the connection."""
        caller = receive(self.client(), data)
        self.run()
        return caller

    def act(self, action, now=NOW):
        """Performs an action of the dispatcher, and runs the scheduled batches."""
        self.host.perform(now, action)
        self.run()

    def forward(self, name="s-1", allowed=9_000):
        """Forwards the request r1 to an executor, with `allowed` ticks for the attempt."""
        self.act(Forward(b"r1", name, allowed))

    def attempt_ends(self):
        """Returns the ends of attempts that the dispatcher received, without their load reports."""
        return [event[:4] for event in self.dispatcher.events if isinstance(event, AttemptEnded)]

    def outcomes(self):
        """Returns the outcomes of attempts that the dispatcher received."""
        return [event.outcome for event in self.dispatcher.events if isinstance(event, AttemptEnded)]
