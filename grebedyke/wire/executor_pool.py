"""Executor endpoints and the pool of connections to them; the most recently used one is reused first."""

from typing import NamedTuple

from loguru import logger

from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire.endpoint_rows import GONE, HEALTHY
from grebedyke.wire.executor_connection import CallResult, ExecutorCall, ExecutorConnection

# Ticks after a response of an executor within which its duplicate arrives, if there is one.
DUPLICATE_WINDOW = 20 * TICKS_PER_MILLISECOND
# Each second the usable idle time grows by a tenth plus this many ticks, up to the maximum.
USABLE_TIME_STEP = 10


class PoolSettings(NamedTuple):
    """Pool settings that a reload can change, in ticks.

    Attributes:
        max_idle_time: Maximum idle time of a connection; well below the time after which executors close it,
            because a message that crosses the close ends in a reset and its job may have run.
        connect_timeout: Maximum duration of a connect.
    """

    max_idle_time: int
    connect_timeout: int


class EndpointAddress(NamedTuple):
    """Address of an executor in the endpoint list.

    Attributes:
        name: Name of the executor.
        address: Host and port.
        state: One of the states in `endpoint_rows`.
        since_ms: When the executor started, in milliseconds of Unix time.
    """

    name: str
    address: tuple
    state: str
    since_ms: float


class ExecutorEndpoint:
    """An executor as addressed by this node, with the connections to it.

    Attributes:
        pool: The `ExecutorPool`.
        name: Name of the executor.
        address: Host and port, None before the executor is listed.
        since_ms: When the executor started, in milliseconds of Unix time.
        host: Value of the Host header.
        is_listed: Whether the endpoint list contains it as healthy or draining.
        accepts_requests: Whether it is listed as healthy.
        open_attempts: Number of attempts without a known end; maintained by `model.in_flight`.
        connections: All established connections, as keys.
        idle: Idle connections, the most recently used one last.
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
        """Returns the identity of this incarnation of the executor: its address and start time."""
        return self.address, self.since_ms

    def set_incarnation(self, address, since_ms):
        """Applies the listed address and start time, and closes idle connections to a former incarnation.

        A machine that disappeared neither closes its connections nor answers on them.
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

    def call(self, message, on_end):
        """Sends a message, at the end of this batch on an idle connection or after a connect on a new one.

        Args:
            message: The `ExecutorMessage`.
            on_end: Called once with the `CallEnd`.

        Returns:
            The `ExecutorCall`.
        """
        call = ExecutorCall(self, message, on_end)
        if message.latest_send is not None:
            call.timers.append(self.pool.batch.call_at(message.latest_send + 1, call.expire))
        connection = self._take_idle_connection(call.started_at, call.is_attempt)
        if connection:
            connection.send_call(call)
        elif self.address and self.pool.ensure_capacity():
            self._begin_connect(call)
        else:
            self.pool.batch.enqueue(lambda now: call.end(CallResult.UNSENT))
        return call

    def _take_idle_connection(self, now, is_attempt):
        """Removes and returns the most recently used idle connection, None if none is usable.

        A connection on which a duplicate of an earlier response may still arrive is not usable yet. Executors
        close connections that are idle for long, and a message that crosses the close ends in a reset. A
        connection too old for use stays open until the sweep: if the executor closes it earlier, the pool
        learns the executor's idle timeout from that.
        """
        for connection in reversed(self.idle):
            if now - connection.idle_since >= self.pool.usable_idle_time:
                return None
            if not (connection.transport.is_closing() or connection.may_get_duplicate(is_attempt, now)):
                self.idle.remove(connection)
                return connection
        return None

    def _begin_connect(self, call):
        pool = self.pool
        pool.batch.metrics.count("connects")
        # Counted now, because connects of one batch start later, after all its calls have checked the limit.
        pool.connecting += 1
        call.needed_connect = True
        call.connect_task = pool.loop.create_task(self._connect(call))
        call.connect_task.add_done_callback(pool.connect_finished)
        # Far shorter than an attempt's timeout: a connect to a machine that disappeared never completes.
        timeout = pool.settings.connect_timeout
        call.timers.append(pool.batch.call_later(timeout, self._connect_timed_out, call))

    async def _connect(self, call):
        address, _ = call.incarnation
        connection = None
        try:
            _, connection = await self.pool.loop.create_connection(lambda: ExecutorConnection(self), *address)
        except Exception as problem:
            # Not only OSError: an invalid host name raises another error, and the call must still end.
            if not isinstance(problem, OSError) and self.pool.batch.metrics.count_and_may_log("odd"):
                logger.warning(
                    "executor {executor}: cannot connect: {why}",
                    event="connect-odd",
                    executor=self.name,
                    why=repr(problem),
                )
        call.connect_task = None
        self._connected(call, connection)

    def _connected(self, call, connection):
        """Sends the call on its new connection, unless it must not be sent any more.

        Its latest send may have passed. The list may now have another address or incarnation, or may list the
        executor as draining or gone.
        """
        call.expire(self.pool.batch.clock())
        is_usable = (
            connection and call.incarnation == self.incarnation() and not connection.transport.is_closing()
        )
        if is_usable and not call.ended and (self.accepts_requests or not call.is_attempt):
            connection.send_call(call)
            return
        if is_usable:
            self.release(connection)
        elif connection:
            connection.close()
        call.end(CallResult.UNSENT)

    def _connect_timed_out(self, now, call):
        if call.connect_task and not call.ended:
            call.connect_task.cancel()
            call.connect_task = None
            call.end(CallResult.UNSENT)

    # Connections.

    def release(self, connection):
        """Adds a connection without a call to the idle ones."""
        if connection.incarnation != self.incarnation():
            # It leads to a former incarnation, and the next call is for the current one.
            connection.close()
            return
        connection.idle_since = self.pool.batch.clock()
        connection.is_new = False
        self.idle.append(connection)

    def remove(self, connection):
        """Removes a connection that is closed or closing."""
        self.connections.pop(connection, None)
        self.pool.connections.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)


class ExecutorPool:
    """The endpoints of all executors, and the limits shared by their connections.

    Attributes:
        loop: The event loop.
        batch: The node's batch loop: clock, timers and input queue.
        settings: The current `PoolSettings`.
        process_share: Maximum of connections while this is the only process of the node.
        max_connections: Current maximum of connections of this process.
        endpoints: The `ExecutorEndpoint` of each executor by name.
        connections: All established connections, as keys.
        connecting: Number of connects in progress.
        usable_idle_time: Maximum idle time in ticks for a connection to be reused. It adapts at run time,
            because executors may close connections earlier than the settings assume.
        duplicate_window: Ticks after a response within which a duplicate of it may arrive.
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
        """Applies changed settings."""
        self.settings = settings
        self.usable_idle_time = min(self.usable_idle_time, settings.max_idle_time)

    def share_connections(self, is_shared):
        """Halves the limit while another process of this node serves, so both together stay within it."""
        self.max_connections = self.process_share // 2 if is_shared else self.process_share

    def endpoint(self, name):
        """Returns the executor's endpoint; creates one without an address for an unknown executor."""
        return self.endpoints.get(name) or self.endpoints.setdefault(name, ExecutorEndpoint(self, name))

    def update_endpoints(self, is_complete, rows):
        """Applies the complete endpoint list or a change of it.

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
                endpoint.set_incarnation(row.address, row.since_ms)

    # Limits on connections.

    def ensure_capacity(self):
        """Returns whether one more connection may be opened; closes the longest idle one if necessary."""
        if len(self.connections) + self.connecting < self.max_connections:
            return True
        idle = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if not idle:
            return False
        longest = min(idle, key=lambda connection: connection.idle_since)
        # asyncio reports the close one pass later; until then each call of the batch would choose it again.
        longest.endpoint.remove(longest)
        longest.close()
        return True

    def connect_finished(self, task):
        """Called when a connect has succeeded, failed or been cancelled."""
        self.connecting -= 1

    def record_executor_close(self, idle_time):
        """Reduces the usable idle time after an executor closed a connection idle for `idle_time` ticks."""
        self.usable_idle_time = min(self.usable_idle_time, idle_time // 2)

    def sweep(self, now):
        """Closes connections idle for too long and removes executors that are gone; runs every second."""
        # Doubles in about 7 s, so closes during a deployment have no lasting effect.
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
