"""A node whose clients leave while their requests wait, and a recorder of attempts sent regardless."""

import asyncio
import socket
import threading
import time

from emulators import ACCEPTED, LISTED_EXECUTOR, BlockingClient, until
from node_harness import SETTINGS, NodeHarness

from grebedyke.wire.executor_connection import ExecutorConnection

# Seconds after a client's close within which an attempt may still start.
GRACE = 0.1
# Seconds after the last close; an attempt that starts later is a violation.
PAST_GRACE = 0.16
# Client timeout in milliseconds, long enough for a busy machine.
TIMEOUT_MS = 20_000
OPERATION = {
    **SETTINGS["operations"][0],
    "idempotency": "safe",
    "latencyObjectiveMs": TIMEOUT_MS,
    "clientTimeoutMs": TIMEOUT_MS,
}
LIMITS = {**SETTINGS["limits"], "maxForwards": 60}


class RecordingExecutor:
    """A single server behind any number of executor names.

    It runs in threads, since the event loop may be blocked.

    Attributes:
        received: Identifiers of the received requests.
        deletes: Identifiers of the jobs that the node has cancelled.
        respond: Called with a request's identifier; returns the response, None to close the connection.
        may_confirm: Cancels are not answered while this event is not set.
        address: Its address as "host:port".
    """

    def __init__(self):
        self.received = []
        self.deletes = []
        self.respond = lambda request_id: ACCEPTED
        self.may_confirm = threading.Event()
        self.may_confirm.set()
        self.server = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def rows(self, count, **changes):
        """Returns rows of the endpoint list, all with this address."""
        return [
            {**LISTED_EXECUTOR, "name": f"s-{i}", "address": self.address, **changes}
            for i in range(1, count + 1)
        ]

    def accept(self):
        """Serves each connection in its own thread."""
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.serve_connection, args=(sock,), daemon=True).start()

    def serve_connection(self, sock):
        """Answers messages until the connection is closed."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        with sock:
            try:
                while data or (data := sock.recv(65_536)):
                    data = self.serve_message(sock, data)
            except OSError:
                pass

    def serve_message(self, sock, data):
        """Answers the message at the start of `data`; returns the bytes after it."""
        while b"\r\n\r\n" not in data:
            data += self.receive_more(sock)
        head, _, data = data.partition(b"\r\n\r\n")
        line, *header_lines = head.split(b"\r\n")
        headers = dict(header.lower().split(b": ", 1) for header in header_lines)
        length = int(headers.get(b"content-length", 0))
        if line.startswith(b"DELETE"):
            self.deletes.append(line.split()[1].rpartition(b"/")[2])
            self.may_confirm.wait(20)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return data[length:]
        self.received.append(headers[b"x-request-id"])
        while len(data) < length:
            data += self.receive_more(sock)
        response = self.respond(headers[b"x-request-id"])
        if response is None:
            raise OSError("connection closed without a response")
        sock.sendall(response)
        return data[length:]

    @staticmethod
    def receive_more(sock):
        """Returns further bytes of an incomplete message."""
        data = sock.recv(65_536)
        if not data:
            raise OSError("connection closed within a message")
        return data


class DepartureScene:
    """A node with executors and clients that leave; started and stopped by `async with`.

    Attributes:
        recorder: The `RecordingExecutor` behind all executor names.
        harness: The `NodeHarness`.
        dispatcher: The node's dispatcher.
        open_requests: The node's requests without a final answer, by identifier.
        left_at: Monotonic time in seconds right after each client's close, by the identifier of its request.
        written: Identifier of each attempt that the node has started to write, and the time in seconds.
    """

    def __init__(self, executors=1, gated=False, limits=(), **settings):
        self.recorder = RecordingExecutor()
        self.left_at = {}
        self.written = []
        self.harness = NodeHarness(
            *self.recorder.rows(executors),
            gated=[self.recorder.address] if gated else (),
            operations=[OPERATION],
            limits={**LIMITS, **dict(limits)},
            **settings,
        )

    async def __aenter__(self):
        await self.harness.__aenter__()
        self.flush = flush = ExecutorConnection.flush

        def record_and_flush(connection):
            call = connection.call
            if connection.out.used and call and call.is_attempt:
                request_id = dict(call.message.headers)[b"X-Request-ID"]
                self.written.append((request_id, time.monotonic()))
            flush(connection)

        ExecutorConnection.flush = record_and_flush
        self.dispatcher = self.harness.host.dispatcher
        self.open_requests = self.harness.host.requests.pending
        return self

    async def __aexit__(self, kind, *more):
        self.recorder.may_confirm.set()
        try:
            return await self.harness.__aexit__(kind, *more)
        finally:
            ExecutorConnection.flush = self.flush
            self.recorder.server.close()

    # Clients.

    def clients(self, count, first=1):
        """Connects `count` clients; returns them by the identifier of the request that each will send."""
        request_ids = [b"r%d" % i for i in range(first, first + count)]
        return {request_id: BlockingClient(self.harness.address) for request_id in request_ids}

    def send_requests(self, clients, body=b"abc"):
        """Sends the request of each client."""
        for request_id, client in clients.items():
            client.send_request(request_id.decode(), TIMEOUT_MS, body=body)

    def leave(self, clients):
        """Closes all clients, every second one by a reset."""
        for request_id, client in clients.items():
            client.leave(reset=len(self.left_at) % 2 > 0)
            self.left_at[request_id] = time.monotonic()

    async def until_past_grace(self, more=0.0):
        """Waits until any attempt that starts from then on is a violation."""
        end = max(self.left_at.values()) + PAST_GRACE + more
        await until(lambda: time.monotonic() > end)

    # The node.

    def endpoints(self):
        """Returns the dispatcher's endpoints."""
        return self.dispatcher.endpoints.by_id.values()

    def eject_all(self):
        """Ejects all executors, so the dispatcher does not use them."""
        for endpoint in self.endpoints():
            endpoint.ejected_until = 1 << 60

    def readmit_all(self):
        """Ends the ejection of all executors."""
        for endpoint in self.endpoints():
            endpoint.ejected_until = 0

    def queued(self):
        """Returns the dispatcher's requests that are queued at this node."""
        return [request for request in self.dispatcher.queue.waiting if request.queued]

    def suppress_stall_detection(self):
        """Records passes as a busy event loop does, so the node detects no stall before it reads a close."""
        for _ in range(3):
            self.harness.batch.record_pass()

    async def finish_request(self, request_id, state="done"):
        """Sends a call-back with the state for each open attempt of a request."""
        if request_id in self.open_requests:
            for attempt in [each for each in self.open_requests[request_id].attempts if not each.is_ended]:
                await self.harness.call_back(state, request_id.decode(), attempt.endpoint.name)

    async def assert_serves_another_request(self, request_id=b"z1"):
        """Checks that the node serves a further request, after all requests that were queued before it."""
        client = BlockingClient(self.harness.address).send_request(request_id.decode(), TIMEOUT_MS)
        response = asyncio.create_task(client.response())
        while not response.done():  # an attempt that is given up is followed by another
            await until(
                lambda: response.done() or request_id in self.recorder.received,
                "the attempt of the further request",
            )
            await self.finish_request(request_id)
            await asyncio.sleep(0.01)
        assert b" 200 " in await response
        client.leave()

    async def finish(self):
        """Completes all attempts that started in time, and returns the attempts that started too late."""
        await self.assert_serves_another_request()
        for request_id in list(self.open_requests):
            await self.finish_request(request_id)
        return self.late_attempts()

    def late_attempts(self):
        """Returns the attempts that started too late, with the seconds after the client's close.

        The time is that of the node's write, since the executor's thread may run later.
        """
        return [
            (request_id, round(written_at - self.left_at[request_id], 3))
            for request_id, written_at in self.written
            if request_id in self.left_at
            and written_at > self.left_at[request_id] + GRACE
            and request_id in self.recorder.received
        ]
