"""The admin API: serves operators' calls over HTTP/1.1 on a second address, one call per connection.

Each call is enqueued as an event and answered in the batch that handles it.
"""

from functools import partial
from urllib.parse import unquote_to_bytes

from loguru import logger

from grebedyke.errors import HttpProtocolError
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.connection import Connection
from grebedyke.wire.http_messages import decode_text, response_head
from grebedyke.wire.response_pace import CONNECTION_UNITS, ResponsePace
from grebedyke.wire.work_allowance import IMMEDIATE_RESPONSE_UNITS

READY_PATH = b"/v1/readyz"
ENDPOINTS_PATH = b"/v1/executors/"
BAN_CALLS = {b"suspend": True, b"resume": False}
# Ticks after which an open connection is aborted: its call is incomplete, or its answer was not read.
CONNECTION_TIMEOUT = 5 * TICKS_PER_SECOND
MAX_BODY_BYTES = 4_096
ACCEPT_BACKLOG = 256
# Units of work for a call and its connection.
CALL_UNITS = CONNECTION_UNITS + IMMEDIATE_RESPONSE_UNITS


class AdminConnection(Connection):
    """A connection of an operator; it closes after the answer to its first call.

    Attributes:
        api: The `AdminApi`.
        has_received_call: Whether its call was received.
        timer: Aborts the connection if it stays open; cancelled at its end.
    """

    def __init__(self, api):
        super().__init__(api.batch.touch, max_body_bytes=api.max_body_bytes)
        self.api = api
        self.has_received_call = False
        self.timer = None

    def connection_made(self, transport):
        """Called by asyncio when the connection is established."""
        super().connection_made(transport)
        self.api.connection_opened(self)

    def connection_lost(self, exc):
        """Called by asyncio when the connection is closed."""
        self.timer.cancel()
        self.api.pace.forget(self)
        self.api.connections.pop(self, None)

    def eof_received(self):
        """Called by asyncio when the caller has closed its sending side; returns whether an answer is due."""
        return self.has_received_call

    def process_input(self):
        """Handles the first call and discards all further input."""
        if self.has_received_call:
            self.ring.skip(self.ring.used)
            return
        try:
            request = self.parser.next_message()
        except HttpProtocolError as problem:
            self.has_received_call = True
            self.half_closes = True
            self.ring.skip(self.ring.used)
            self.answer(problem.status, str(problem))
            return
        if request:
            self.has_received_call = True
            self.api.handle(self, request)

    def answer(self, status, text, headers=""):
        """Answers the call with a line of text, as soon as the pace allows it, and closes the connection."""
        body = text.encode() + b"\n"
        head = response_head(status, len(body), False, headers)
        self.api.pace.call(self, CALL_UNITS, partial(self.send, head, body, close=True))

    def continue_input(self):
        """Called after an answer that has waited; further input is discarded."""


class AdminApi:
    """Listens on the admin address and routes the calls.

    Attributes:
        batch: The node's `BatchLoop`.
        is_ready: Returns whether the node is serving.
        set_banned: Called with the time, the name of an endpoint and whether it is banned; returns whether
            the endpoint is known.
        max_connections: Maximum number of open connections; one more aborts the oldest.
        handle_component_call: Called with connection, method, path and body of all other calls; returns
            whether the call is known. None outside of a fleet.
        max_body_bytes: Maximum size of a call's body.
        connections: The open connections, as keys.
        pace: The `ResponsePace` of all answers.
        server: The asyncio server; None until `listen`.
    """

    def __init__(self, batch, is_ready, set_banned, max_connections):
        self.batch = batch
        self.is_ready = is_ready
        self.set_banned = set_banned
        self.max_connections = max_connections
        self.handle_component_call = None
        self.max_body_bytes = MAX_BODY_BYTES
        self.connections = {}
        self.pace = ResponsePace(batch)
        self.server = None

    async def listen(self, loop, host, port):
        """Starts to accept connections.

        Raises:
            OSError: The address cannot be used.
        """
        self.server = await loop.create_server(
            lambda: AdminConnection(self), host, port, backlog=ACCEPT_BACKLOG
        )

    def connection_opened(self, connection):
        """Called by a connection once it is established."""
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            # Idle connections must not prevent an operator's call from being answered.
            next(iter(self.connections)).abort()
        connection.timer = self.batch.call_later(CONNECTION_TIMEOUT, self._abort_overdue, connection)

    def _abort_overdue(self, now, connection):
        if connection in self.connections:
            connection.abort()

    def handle(self, connection, request):
        """Routes a connection's call to its handler."""
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            self._handle_ready_call(connection, request.method)
            return
        name, _, call = path.removeprefix(ENDPOINTS_PATH).rpartition(b"/")
        if path.startswith(ENDPOINTS_PATH) and name and call in BAN_CALLS:
            self._handle_ban_call(connection, request.method, name, BAN_CALLS[call])
            return
        is_known = self.handle_component_call and self.handle_component_call(
            connection, request.method, path, request.body
        )
        if not is_known:
            connection.answer(404, "no such call")

    def _handle_ready_call(self, connection, method):
        if method != b"GET":
            _answer_wrong_method(connection, "GET")
        elif self.is_ready():
            connection.answer(200, "ready")
        else:
            connection.answer(503, "not ready")

    def _handle_ban_call(self, connection, method, raw_name, is_banned):
        if method != b"POST":
            _answer_wrong_method(connection, "POST")
            return
        name = decode_text(unquote_to_bytes(raw_name))
        self.batch.enqueue(self._set_banned, connection, name, is_banned)

    def _set_banned(self, now, connection, name, is_banned):
        if not self.set_banned(now, name, is_banned):
            connection.answer(404, "no such executor")
            return
        logger.info(
            "executor {executor} set by an operator: {state}",
            event="by-hand",
            executor=name,
            state="out" if is_banned else "in use again",
        )
        connection.answer(200, "out" if is_banned else "in use")

    def close(self):
        """Closes all connections and stops listening."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.close()


def _answer_wrong_method(connection, allowed):
    connection.answer(405, f"this call is a {allowed}", f"Allow: {allowed}\r\n")
