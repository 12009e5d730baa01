"""The executors' addresses and the pool of connections to them, the most recently used first."""

from typing import NamedTuple

from loguru import logger

from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire.endpoint_rows import GONE, HEALTHY
from grebedyke.wire.executor_connection import CallResult, ExecutorCall, ExecutorConnection
from grebedyke.wire.http_messages import request_head

# Ticks within which an executor's second response to one message comes, if there is one.
DUPLICATE_WINDOW = 20 * TICKS_PER_MILLISECOND
# Each second without a connection that ended early the usable idle time grows by a tenth and this.
USABLE_TIME_STEP = 10


class PoolSettings(NamedTuple):
    """Settings of the pool that a reload may change, in ticks.

    Attributes:
        max_idle_time: How long a connection is kept idle; well under the time after which executors close it,
            since a message that crosses the close ends as a reset, and may have run.
        connect_timeout: How long a connect may take.
    """

    max_idle_time: int
    connect_timeout: int


class EndpointAddress(NamedTuple):
    """Where an executor of the endpoint list is reached.

    Attributes:
        name: Name of the executor.
        address: Host and port.
        state: A state of `endpoint_rows`.
        since_ms: When the executor started, in milliseconds of Unix time.
    """

    name: str
    address: tuple
    state: str
    since_ms: float


class ExecutorEndpoint:
    """One executor as the connections see it.

    Attributes:
        pool: The `ExecutorPool`.
        name: Name of the executor.
        address: Host and port, None before it was listed.
        since_ms: When the executor started, in milliseconds of Unix time.
        host: Value of the Host header.
        is_listed: Whether the endpoint list has it, healthy or draining.
        accepts_requests: Whether it is listed as healthy.
        open_attempts: Attempts there whose end is not known; counted by `model.in_flight`.
        connections: All connections that are up, as keys.
        idle: Connections that are idle, the one used last at the end.
    """

    def __init__(self, pool, name):
        self.pool = pool
        self.name = name
        self.address = None
        self.since_ms = None
        self.host = b""
        self.is_listed = False
        self.accepts_requests = False
        self.open_attempts = 0
        self.connections = {}
        self.idle = []

    def incarnation(self):
        """Returns what identifies this incarnation of the executor: its address and start."""
        return self.address, self.since_ms

    def move(self, address, since_ms):
        """Takes over the listed address and start, and drops connections to a former incarnation.

        A machine that vanished neither ends its connections nor answers on them.
        """
        if (address, since_ms) == self.incarnation():
            return
        self.address = address
        self.since_ms = since_ms
        host, port = address
        self.host = b"%s:%d" % (host.encode(), port)
        for connection in self.idle[:]:
            connection.close()

    # Calls.

    def call(self, method, target, headers, body, on_end):
        """Sends a message at the end of this batch, on an idle connection or a new one.

        Args:
            method: Method in bytes; a POST is an attempt.
            target: Target in bytes.
            headers: Pairs of name and value in bytes.
            body: Body in bytes.
            on_end: Called once with the `CallEnd`.

        Returns:
            The `ExecutorCall`.
        """
        is_attempt = method == b"POST"
        head = request_head(method, target, self.host, headers, len(body) if is_attempt else None)
        call = ExecutorCall(self, head, body, on_end, is_attempt)
        connection = self._take_idle_connection(call.started_at)
        if connection:
            connection.carry(call)
        elif self.address and self.pool.ensure_capacity():
            self._begin_connect(call)
        else:
            self.pool.batch.enqueue(lambda now: call.end(CallResult.UNSENT))
        return call

    def _take_idle_connection(self, now):
        """Takes the connection that was used last out of the idle ones, None if none is usable.

        An executor closes what is idle for long, and a message that crosses that close ends as a reset. A
        connection too old to be used stays until the sweep: if the executor closes it before, that shows how
        long it really keeps one.
        """
        while self.idle and now - self.idle[-1].idle_since < self.pool.usable_idle_time:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                return connection
            connection.close()
        return None

    def _begin_connect(self, call):
        pool = self.pool
        pool.batch.metrics.count("connects")
        # Counted from here on: none of a batch's calls has begun to connect when the next one asks for room.
        pool.connecting += 1
        call.needed_connect = True
        call.connect_task = pool.loop.create_task(self._connect(call))
        call.connect_task.add_done_callback(pool.connect_finished)
        # Connecting has a limit of its own, far under the attempt's: a vanished machine never comes up.
        pool.batch.call_later(pool.settings.connect_timeout, self._connect_timed_out, call)

    async def _connect(self, call):
        address, _ = call.incarnation
        connection = None
        try:
            _, connection = await self.pool.loop.create_connection(lambda: ExecutorConnection(self), *address)
        except Exception as problem:
            # Keeps the call from never ending: a host name that no resolver takes is no OSError.
            if not isinstance(problem, OSError) and self.pool.batch.metrics.count_and_may_log("odd"):
                logger.warning(
                    "executor {executor}: no connection: {why}",
                    event="connect-odd",
                    executor=self.name,
                    why=repr(problem),
                )
        call.connect_task = None
        self._connected(call, connection)

    def _connected(self, call, connection):
        """Lets a new connection carry its call, unless the endpoint list has changed meanwhile.

        The list may now have another address or incarnation, or say that the executor takes nothing new.
        """
        is_usable = (
            connection and call.incarnation == self.incarnation() and not connection.transport.is_closing()
        )
        if is_usable and not call.ended and (self.accepts_requests or not call.carries_request):
            connection.carry(call)
            return
        if is_usable:
            self.rest(connection)
        elif connection:
            connection.close()
        call.end(CallResult.UNSENT)

    def _connect_timed_out(self, now, call):
        if call.connect_task and not call.ended:
            call.connect_task.cancel()
            call.connect_task = None
            call.end(CallResult.UNSENT)

    # Connections.

    def rest(self, connection):
        """Takes a connection that has nothing to carry among the idle ones."""
        if connection.incarnation != self.incarnation():
            # It answered for a former incarnation; the next call is for the present one.
            connection.close()
            return
        connection.idle_since = self.pool.batch.clock()
        connection.is_new = False
        self.idle.append(connection)

    def remove(self, connection):
        """Drops a connection that has ended, or is about to."""
        self.connections.pop(connection, None)
        self.pool.connections.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)


class ExecutorPool:
    """All executors' endpoints, and the limits that their connections share.

    Attributes:
        loop: The event loop.
        batch: The node's batches: time, timers and inputs.
        settings: The `PoolSettings` in force.
        process_share: Connections that one process of this node may hold while it is alone.
        max_connections: Connections that this process may hold now.
        endpoints: The `ExecutorEndpoint` of each executor by its name.
        connections: All connections that are up, as keys.
        connecting: Connects that are under way.
        usable_idle_time: How long a connection may have been idle to be used, in ticks. It is learnt:
            executors may end connections sooner than the settings say, visibly or at the next message.
        duplicate_window: Ticks within which a second response to the message before may come.
    """

    def __init__(self, loop, batch, settings, max_connections):
        self.loop = loop
        self.batch = batch
        self.settings = settings
        self.process_share = max_connections
        self.max_connections = max_connections
        self.endpoints = {}
        self.connections = {}
        self.connecting = 0
        self.usable_idle_time = settings.max_idle_time
        self.duplicate_window = DUPLICATE_WINDOW

    def apply_settings(self, settings):
        """Puts changed settings in force."""
        self.settings = settings
        self.usable_idle_time = min(self.usable_idle_time, settings.max_idle_time)
        self.duplicate_window = DUPLICATE_WINDOW

    def share_connections(self, with_another):
        """Halves the limit while another process of this node serves: both hold no more than one may."""
        self.max_connections = self.process_share // 2 if with_another else self.process_share

    def endpoint(self, name):
        """Returns the executor's endpoint; an unknown one gets an endpoint without an address."""
        return self.endpoints.get(name) or self.endpoints.setdefault(name, ExecutorEndpoint(self, name))

    def update_endpoints(self, is_complete, rows):
        """Takes over the endpoint list or a change of it.

        Args:
            is_complete: Whether the rows are the complete list.
            rows: An `EndpointAddress` for each executor.
        """
        if is_complete:
            for endpoint in self.endpoints.values():
                endpoint.is_listed = False
                endpoint.accepts_requests = False
        for row in rows:
            endpoint = self.endpoint(row.name)
            endpoint.is_listed = row.state != GONE
            endpoint.accepts_requests = row.state == HEALTHY
            if endpoint.is_listed:
                endpoint.move(row.address, row.since_ms)

    # Room for connections.

    def ensure_capacity(self):
        """Returns whether one more connection may be opened; may close the one idle longest for it."""
        if len(self.connections) + self.connecting < self.max_connections:
            return True
        idle = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if not idle:
            return False
        longest = min(idle, key=lambda connection: connection.idle_since)
        # Removed at once: asyncio reports its end a pass later, and each call of a batch would count on it.
        longest.endpoint.remove(longest)
        longest.close()
        return True

    def connect_finished(self, task):
        """Called when a connect has ended, in whatever way."""
        self.connecting -= 1

    def ended_by_executor(self, idle_time):
        """Learns that an executor has ended a connection that was idle for so many ticks."""
        self.usable_idle_time = min(self.usable_idle_time, idle_time // 2)

    def sweep(self, now):
        """Closes connections that were idle too long, and forgets executors that are gone; each second."""
        # It doubles in about 7 s without an early end: the closes of a deployment are no rule for the day.
        self.usable_idle_time = min(
            self.usable_idle_time + self.usable_idle_time // 10 + USABLE_TIME_STEP,
            self.settings.max_idle_time,
        )
        for name, endpoint in list(self.endpoints.items()):
            oldest_allowed = now - self.settings.max_idle_time
            for connection in endpoint.idle[:]:
                if connection.idle_since <= oldest_allowed or not endpoint.is_listed:
                    connection.close()
            if not endpoint.is_listed and not endpoint.open_attempts and not endpoint.connections:
                del self.endpoints[name]
