"""Accepts connections of clients and call-back connections of executors on one address; routes messages."""

from typing import NamedTuple

from loguru import logger

from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire.client_admission import ClientAdmission
from grebedyke.wire.client_connection import LINGER_TIME
from grebedyke.wire.connection_acceptor import ConnectionAcceptor, bound_socket
from grebedyke.wire.connection_end import ConnectionEnd
from grebedyke.wire.connection_table import ConnectionTable
from grebedyke.wire.request_headers import (
    CALL_BACK_PATH,
    OperationTimeouts,
    parse_incoming_request,
    parse_job_update,
)
from grebedyke.wire.work_allowance import CALL_BACK_UNITS, IMMEDIATE_RESPONSE_UNITS

HEALTH_PATH = b"/up"
# Ticks between checks for connections with an incomplete message.
TIMEOUT_CHECK_INTERVAL = 250 * TICKS_PER_MILLISECOND


class ListenerSettings(NamedTuple):
    """Client listener settings that a reload can change.

    Attributes:
        client_timeouts: Client timeout in ticks by operation name.
        message_timeout: Ticks within which a proven connection must complete a message.
    """

    client_timeouts: dict
    message_timeout: int


class ClientListener:
    """Accepts connections, sheds load before accepting requests, and passes on valid messages.

    Attributes:
        batch: The node's batch loop: clock, timers and input queue.
        settings: The current `ListenerSettings`.
        timeouts: The `OperationTimeouts`.
        connections: The `ConnectionTable`.
        memory: The `MessageMemory`.
        admission: The `ClientAdmission`.
        on_request: Called immediately with a `ClientConnection` and its `IncomingRequest`.
        on_job_update: Queued for the next batch; called with the time and a `JobUpdate`.
        on_client_left: Queued for the next batch; called with the time, the open request and its connection
            when the client leaves before the response.
        is_request_known: Returns whether an identifier, as text, is one of this node's requests.
        acceptor: The `ConnectionAcceptor`.
        has_listened: Whether `listen` has succeeded at least once.
        stopping: Whether the node is shutting down; the health check then fails.
        closes_connections: Whether each connection is closed after its next response.
        transfer: Called with an idle connection to hand it to the successor; None without a successor.
    """

    def __init__(
        self,
        batch,
        settings,
        limits,
        memory,
        *,
        on_request,
        on_job_update,
        on_client_left,
        is_request_known,
    ):
        self.batch = batch
        self.settings = settings
        self.timeouts = OperationTimeouts(settings.client_timeouts)
        self.connections = ConnectionTable(batch, limits)
        self.memory = memory
        self.admission = ClientAdmission(batch, memory)
        self.on_request = on_request
        self.on_job_update = on_job_update
        self.on_client_left = on_client_left
        self.is_request_known = is_request_known
        self.has_listened = False
        self.stopping = False
        self.closes_connections = False
        self.transfer = None
        self.acceptor = ConnectionAcceptor(self)

    def apply_settings(self, settings):
        """Applies changed settings to messages received from now on."""
        self.settings = settings
        self.timeouts.update(settings.client_timeouts)

    # Accepting.

    async def listen(self, loop, host, port, server=None):
        """Starts accepting connections.

        Args:
            loop: The event loop.
            host: Address to listen on.
            port: Port to listen on.
            server: Listening socket shared with another process of this node; both accept from its queue.

        Raises:
            OSError: The address cannot be used.
        """
        self.acceptor.start(loop, server or bound_socket(host, port))
        if not self.has_listened:
            self.close_overdue(self.batch.clock())
        self.has_listened = True

    async def adopt(self, descriptor, proven, is_executor):
        """Takes over a connection that another process has accepted and that is between two messages."""
        await self.acceptor.adopt(descriptor, proven, is_executor)

    # Callbacks of connections.

    def connection_closed(self, connection):
        """Called by a connection after it is closed."""
        self.connections.remove(connection)
        self.admission.connection_ended(connection)
        self.client_left(connection)

    def client_left(self, connection):
        """Called by a connection when its client has closed its side."""
        if connection.open_request is not None:
            self.batch.enqueue(self.on_client_left, connection.open_request, connection)
            connection.open_request = None

    def close_overdue(self, now):
        """Answers 408 on connections with an overdue message, and schedules the next check.

        Without this check a silent peer would hold a file descriptor indefinitely.
        """
        for connection in self.connections.overdue(now, self.settings.message_timeout):
            connection.refuse_overdue_message()
            # A client that does not read would keep the connection for ever.
            connection.abort_later(LINGER_TIME)
        self.batch.call_at(now + TIMEOUT_CHECK_INTERVAL, self.close_overdue)

    def handle(self, connection, request):
        """Routes one message of a connection.

        Raises:
            HttpProtocolError: The headers of a client's request are invalid.
        """
        connection.allowance.charge(IMMEDIATE_RESPONSE_UNITS)
        path = request.target.partition(b"?")[0]
        operation = self.timeouts.operation_name(path[1:].partition(b"/")[0])
        if path == CALL_BACK_PATH:
            connection.is_executor = True
        allowed_method = self._allowed_method(path, operation)
        if allowed_method is None:
            connection.refuse_message(404)
        elif request.method != allowed_method:
            connection.refuse_message(405, headers=f"Allow: {allowed_method.decode()}\r\n")
        elif path == HEALTH_PATH:
            connection.respond_paced(200 if self.has_listened and not self.stopping else 503)
        elif path == CALL_BACK_PATH:
            self._handle_call_back(connection, request.body)
        else:
            self._handle_request(connection, operation, request)

    def _allowed_method(self, path, operation):
        if path == HEALTH_PATH:
            return b"GET"
        if path == CALL_BACK_PATH or operation in self.timeouts.current:
            return b"POST"
        return None

    def _handle_call_back(self, connection, body):
        connection.proven = True
        update = self._parse_call_back(body)
        if update:
            self.batch.enqueue(self.on_job_update, update)
        # Acknowledged even if invalid, because the executor would repeat it otherwise.
        if update and self.is_request_known(update.request_id):
            connection.allowance.refund(IMMEDIATE_RESPONSE_UNITS - CALL_BACK_UNITS)
            connection.acknowledge_call_back(204)
        else:
            connection.respond_paced(204)

    def _parse_call_back(self, body):
        """Returns the `JobUpdate` of a call-back, None if it is invalid."""
        try:
            return parse_job_update(body)
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            if self.batch.metrics.count_and_may_log("odd"):
                logger.warning("invalid call-back: {why}", event="call-back-odd", why=repr(problem))
            return None

    def _handle_request(self, connection, operation, request):
        incoming = parse_incoming_request(request, operation, self.timeouts)
        self.connections.request_received(connection)
        if connection.over_limit and self.connections.is_busy():
            self.batch.metrics.count("crowded")
            # Throttled, as the request was not sent to an executor; closing without a response would lose it.
            connection.respond(503)
            return
        if not self.admission.has_room(connection, len(request.body)):
            connection.respond(503)
            return
        self.connections.request_started(connection)
        self.on_request(connection, incoming)
        connection.awaits_first_request = False
        connection.setup_units = 0
        if connection.open_request is not None:
            connection.allowance.refill()

    # Shutting down.

    def transferable(self):
        """Returns the connections that can be handed to another process now."""
        return [connection for connection in self.connections.accepted if connection.is_transferable()]

    def stop(self):
        """Makes the health check fail from now on; requests are still accepted."""
        self.stopping = True

    def close_idle(self):
        """Closes clients' idle connections now, and all other connections after their next response.

        Executors' connections stay open for call-backs until the last response.
        """
        self.closes_connections = True
        for connection in self.connections.idle_client_connections():
            connection.end_reason = ConnectionEnd.SHUTDOWN
            connection.close()

    def close(self):
        """Closes all connections and the listening socket."""
        self.acceptor.stop()
        for connection in list(self.connections.accepted):
            connection.end_reason = ConnectionEnd.SHUTDOWN
            connection.close()
