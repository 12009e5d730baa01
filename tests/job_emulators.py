"""Executor emulators that accept and run jobs, and clients that send a single message."""

import asyncio
from contextlib import suppress

from emulators import ExecutorEmulator
from socketless_node import call_back_message

ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
# Timeout of a response in seconds.
RESPONSE_TIMEOUT_S = 8
# Timeout in seconds for the last response and the end of its connection.
LAST_RESPONSE_TIMEOUT_S = 10
# Running time of a job in seconds.
JOB_DURATION_S = 0.1
MAX_CONCURRENT_JOBS = 2
CALL_BACK_TRIES = 10


async def send_message(address, data, connection=None):
    """Sends one message and returns the head of the response.

    Args:
        address: Host and port.
        data: The message.
        connection: Reader and writer of an open connection; None opens a new one and closes it afterwards.
    """
    reader, writer = connection or await asyncio.open_connection(*address)
    writer.write(data)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), RESPONSE_TIMEOUT_S)
    if not connection:
        writer.close()
    return head


async def send_last_request(address, operation, request_id):
    """Sends a request with `Connection: close`; returns all data received until the connection ends."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        b"POST /%s/k HTTP/1.1\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 8000\r\nIdempotency-Key: i\r\n"
        b"Connection: close\r\nContent-Length: 0\r\n\r\n" % (operation.encode(), request_id.encode())
    )
    response = await asyncio.wait_for(reader.read(), LAST_RESPONSE_TIMEOUT_S)
    writer.close()
    return response


class AcceptingExecutor:
    """Answers each message with 202 and does nothing else.

    Attributes:
        received: Queue of the request lines.
        server: asyncio's server, once started.
        address: Its address as "host:port", once started.
    """

    def __init__(self):
        self.received = asyncio.Queue()
        self.server = None
        self.address = None

    async def start(self):
        """Starts to listen; returns itself."""
        self.server = await asyncio.start_server(self.serve_connection, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve_connection(self, reader, writer):
        """Answers the messages of a connection until it ends."""
        while line := await reader.readline():
            while (header := await reader.readline()) not in (b"\r\n", b""):
                if header.lower().startswith(b"content-length"):
                    # Content-Length is the last header of a node's messages.
                    await reader.readexactly(int(header[15:]) + 2)
                    break
            writer.write(ACCEPTED)
            await self.received.put(line)


class RunningExecutor(AcceptingExecutor):
    """Runs jobs, at most `MAX_CONCURRENT_JOBS` at once, and reports start and end to the job's node.

    Attributes:
        name: Its name in the endpoint list.
        nodes: Addresses of the nodes by the first letter of their jobs' identifiers.
        jobs: Identifiers of all received jobs.
        slots: Limits the number of concurrent jobs.
        tasks: Tasks of the jobs, kept so that they are not garbage-collected.
    """

    def __init__(self, name, nodes):
        super().__init__()
        self.name = name
        self.nodes = nodes
        self.jobs = []
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_JOBS)
        self.tasks = set()

    async def serve_connection(self, reader, writer):
        """Answers the messages of a connection until it ends, and runs the jobs."""
        while line := await reader.readline():
            headers = {}
            while (header := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = header.strip().partition(b": ")
                headers[name.lower()] = value
            await reader.readexactly(int(headers.get(b"content-length", 0)))
            writer.write(ACCEPTED)
            if line.startswith(b"POST"):
                request_id = headers[b"x-request-id"].decode()
                self.jobs.append(request_id)
                self.tasks.add(asyncio.create_task(self.run(request_id)))

    async def run(self, request_id):
        """Runs a job and reports its start and its end."""
        node = self.nodes[request_id[0]]
        async with self.slots:
            await send_message(node, call_back_message("started", self.name, request_id))
            await asyncio.sleep(JOB_DURATION_S)
            load = ',"result":"x","load":{"x0":1}'
            await send_message(node, call_back_message("done", self.name, request_id, load))


class FinishingExecutor(ExecutorEmulator):
    """Reports success of each job at once, each on a new connection.

    Attributes:
        node_address: Host and port of the node's client listener.
        tasks: The call-backs in progress, kept so that they are not garbage-collected.
    """

    def __init__(self, name, node_address):
        super().__init__(name)
        self.node_address = node_address
        self.tasks = set()
        self.respond = self._accept_and_finish

    def _accept_and_finish(self, line, headers):
        if line.startswith(b"POST"):
            task = asyncio.create_task(self._call_back(headers[b"x-request-id"].decode()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return ACCEPTED

    async def _call_back(self, request_id):
        message = call_back_message("done", self.name, request_id, ',"result":"r"')
        for _ in range(CALL_BACK_TRIES):
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.node_address)
                try:
                    writer.write(message)
                    await reader.readuntil(b"\r\n\r\n")
                    return
                finally:
                    writer.close()
