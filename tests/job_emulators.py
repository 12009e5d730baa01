"""Executors that take jobs by themselves, and clients of one message."""

import asyncio

from socketless_node import call_back_message

ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
# Seconds that a message's response may take.
RESPONSE_TIMEOUT_S = 8
# Seconds that a connection may take to end after its last response.
LAST_RESPONSE_TIMEOUT_S = 10
# Seconds that a job runs.
JOB_TIME_S = 0.1
JOBS_AT_ONCE = 2


async def send_message(address, data, connection=None):
    """Sends one message and returns the head of the response.

    Args:
        address: Host and port.
        data: The message.
        connection: Reader and writer of an open connection; without it a new one is used and closed.
    """
    reader, writer = connection or await asyncio.open_connection(*address)
    writer.write(data)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), RESPONSE_TIMEOUT_S)
    if not connection:
        writer.close()
    return head


async def send_last_request(address, operation, request_id):
    """Sends a request on a connection that ends with its response; returns all that comes on it."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        b"POST /%s/k HTTP/1.1\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 8000\r\nIdempotency-Key: i\r\n"
        b"Connection: close\r\nContent-Length: 0\r\n\r\n" % (operation.encode(), request_id.encode())
    )
    response = await asyncio.wait_for(reader.read(), LAST_RESPONSE_TIMEOUT_S)
    writer.close()
    return response


class AcceptingExecutor:
    """Accepts each message with 202 and does nothing more.

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
        """Listens, and returns itself."""
        self.server = await asyncio.start_server(self.serve_connection, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve_connection(self, reader, writer):
        """Answers the messages of one connection until it ends."""
        while line := await reader.readline():
            while (header := await reader.readline()) not in (b"\r\n", b""):
                if header.lower().startswith(b"content-length"):
                    # The length stands last in what nodes send.
                    await reader.readexactly(int(header[15:]) + 2)
                    break
            writer.write(ACCEPTED)
            await self.received.put(line)


class RunningExecutor(AcceptingExecutor):
    """Runs two jobs at once, each for a while, and calls back the node that the job's identifier begins with.

    Attributes:
        name: Its name in the endpoint list.
        nodes: Address of each node by the first letter of identifiers.
        jobs: Identifiers of the jobs that it got.
        slots: Limits the jobs that run at once.
        tasks: Tasks of the jobs, kept so that they are not collected.
    """

    def __init__(self, name, nodes):
        super().__init__()
        self.name = name
        self.nodes = nodes
        self.jobs = []
        self.slots = asyncio.Semaphore(JOBS_AT_ONCE)
        self.tasks = set()

    async def serve_connection(self, reader, writer):
        """Answers the messages of one connection until it ends, and runs its jobs."""
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
        """Runs one job and reports its start and its end."""
        node = self.nodes[request_id[0]]
        async with self.slots:
            await send_message(node, call_back_message("started", self.name, request_id))
            await asyncio.sleep(JOB_TIME_S)
            load = ',"result":"x","load":{"x0":1}'
            await send_message(node, call_back_message("done", self.name, request_id, load))
