"""Tracks accepted connections and selects connections to close when file descriptors run short."""

from typing import NamedTuple

from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire.connection_end import ConnectionEnd

# Extra descriptors for new connections, used until connections that were answered 503 are closed.
SPARE_CONNECTIONS = 6
# At the limit on connections, one with a message incomplete for longer than this many ticks may be closed: a
# well-behaved peer has sent the entire message by then.
INCOMPLETE_MESSAGE_TIMEOUT = 300 * TICKS_PER_MILLISECOND
# A connection established at least this many ticks ago has been read, so it may be closed as silent.
UNREAD_GRACE_TIME = 30 * TICKS_PER_MILLISECOND
# Ticks within which a connection must complete its first valid message. Checked every quarter of a second, so
# a silent peer gets a 408 within 2.5 s.
FIRST_MESSAGE_TIMEOUT = 2_200 * TICKS_PER_MILLISECOND


class ConnectionLimits(NamedTuple):
    """The client listener's share of the node's file descriptors.

    Attributes:
        max_connections: Maximum of served connections; a sixteenth more are accepted and answered 503.
        max_client_connections: Maximum of client connections kept open between two requests.
    """

    max_connections: int
    max_client_connections: int


class ConnectionTable:
    """All accepted connections, grouped by state; each group is a dict in the order of entry.

    Attributes:
        batch: The node's batch loop, for its clock.
        limits: The `ConnectionLimits`.
        accepted: All established connections.
        idle: Proven connections between two messages.
        unproven: Connections between two messages without a valid request or call-back so far.
        incomplete: Connections without a complete message so far, with the time at which the wait began.
        client_connections: Connections with at least one request, limited by `max_client_connections`.
    """

    def __init__(self, batch, limits):
        self.batch = batch
        self.limits = limits
        self.accepted = {}
        self.idle = {}
        self.unproven = {}
        self.incomplete = {}
        self.client_connections = {}

    def can_accept(self, in_setup):
        """Returns whether a descriptor is free for one more, with `in_setup` accepted but not established."""
        # SPARE_CONNECTIONS makes up for connections that were answered 503 and are not closed yet.
        return len(self.accepted) + in_setup < self._max_accepted() + SPARE_CONNECTIONS

    def add(self, connection):
        """Adds an established connection, and closes another one if there are too many.

        Accepting must not run into the limit on descriptors. Connections without a valid message are closed
        first, because hundreds of silent peers may connect at once and must not displace proven clients. The
        new connection itself is never closed: its request may already be in the kernel and would be lost.
        """
        now = self.batch.clock()
        self.accepted[connection] = None
        if len(self.accepted) > self.limits.max_connections:
            candidate = self._eviction_candidate(now)
            if candidate:
                self.close(candidate)
            else:
                connection.over_limit = True
        self.incomplete[connection] = now

    def _eviction_candidate(self, now):
        """Returns the connection to close for a new one, None if no connection may be closed."""
        if self.unproven:
            return next(iter(self.unproven))
        oldest = next(iter(self.incomplete), None)
        silent_time = now - self.incomplete[oldest] if oldest else 0
        if silent_time > INCOMPLETE_MESSAGE_TIMEOUT:
            return oldest
        if not self._exceeds_max_accepted():
            return None
        # A connection from this pass of the event loop may have sent data that is not read yet.
        return oldest if silent_time > UNREAD_GRACE_TIME else next(iter(self.idle), None)

    def evict_silent(self, now, max_count):
        """Closes up to `max_count` connections of silent peers; without any, the one idle for longest."""
        silent = [
            connection
            for connection, since in self.incomplete.items()
            if now - since > UNREAD_GRACE_TIME and not connection.proven
        ]
        candidates = [*self.unproven, *silent] or [*self.idle][:1]
        for connection in candidates[:max_count]:
            self.close(connection)

    def close(self, connection):
        """Closes a connection to make room; it remains in `accepted` until asyncio reports the close."""
        connection.end_reason = ConnectionEnd.EVICTED
        self._remove_from_groups(connection)
        connection.close()

    def remove(self, connection):
        """Removes a closed connection."""
        self.accepted.pop(connection, None)
        self._remove_from_groups(connection)

    def _remove_from_groups(self, connection):
        for group in (self.idle, self.unproven, self.incomplete, self.client_connections):
            group.pop(connection, None)

    def restart_message_timer(self, connection):
        """Restarts the time limit of a connection's first message, as reading begins now."""
        if connection in self.incomplete:
            self.incomplete[connection] = self.batch.clock()

    def request_received(self, connection):
        """Records that a client's request is complete on this connection."""
        self.incomplete.pop(connection, None)

    def request_started(self, connection):
        """Records that a connection's request was accepted.

        If clients then hold more connections than allowed, the client connection idle for longest is closed.
        """
        connection.proven = True
        self.idle.pop(connection, None)
        self.client_connections[connection] = None
        if len(self.client_connections) > self.limits.max_client_connections:
            longest = next((other for other in self.idle if not other.is_executor), None)
            if longest:
                self.close(longest)

    def reclassify(self, connection):
        """Moves a connection to the group of its state: idle, within a message, or with an open request."""
        self.idle.pop(connection, None)
        self.unproven.pop(connection, None)
        is_free = connection in self.accepted and connection.open_request is None
        if is_free and connection.parser.has_partial_message():
            # Keeps the first timestamp, so a peer that sends byte by byte gets no extra time.
            self.incomplete.setdefault(connection, self.batch.clock())
            return
        self.incomplete.pop(connection, None)
        if is_free:
            group = self.idle if connection.proven else self.unproven
            group[connection] = None

    def connection_adopted(self, connection):
        """Records that a proven connection was taken over from another process, between two messages."""
        if connection in self.incomplete and not connection.parser.has_partial_message():
            if not connection.is_executor:
                self.client_connections[connection] = None
            self.reclassify(connection)

    def overdue(self, now, message_timeout):
        """Returns connections with an overdue message; `message_timeout` applies to proven connections."""
        return [
            connection
            for connection, since in self.incomplete.items()
            if now - since > (message_timeout if connection.proven else FIRST_MESSAGE_TIMEOUT)
            and not (connection.is_ending() or connection.has_delayed_response)
        ]

    def is_busy(self):
        """Returns whether clients with open requests, and executors, use all connections.

        Call-backs of executors end this state. Silent clients are not counted because they are closed when
        descriptors are needed. Counting them let many silent, reconnecting peers cause the refusal of
        most requests, although the connections of these requests were established.
        """
        idle_clients = sum(not connection.is_executor for connection in self.idle)
        silent = len(self.unproven) + len(self.incomplete) + idle_clients
        return len(self.accepted) - silent > self._max_accepted()

    def has_clients(self):
        """Returns whether a connection of a client is open, so that a request may still arrive.

        A new or partly read connection counts too: the last byte of its request may be in the kernel.
        """
        return any(not connection.is_executor for connection in self.accepted)

    def idle_client_connections(self):
        """Returns the connections between two messages that are not used for call-backs."""
        return [connection for connection in (*self.idle, *self.unproven) if not connection.is_executor]

    def _max_accepted(self):
        return self.limits.max_connections + self.limits.max_connections // 16

    def _exceeds_max_accepted(self):
        return len(self.accepted) > self._max_accepted()
