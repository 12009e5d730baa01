"""Stand-ins of executors, discovery and clients, as the protocol page has them."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

CALL_BACK_TRIES = 10
CALL_BACK_PAUSE_S = 0.1
CALL_BACK_TIMEOUT_S = 2.0
MAX_WATCH_S = 60.0


class Record:
    """What was sent, answered and run, in order, with the time since the start of the case.

    Attributes:
        lines: The lines so far.
        started_at: The start of the case on the monotonic clock.
    """

    def __init__(self):
        self.lines = []
        self.started_at = time.monotonic()

    def note(self, text):
        """Adds a line and returns the time since the start, in seconds."""
        now = self.now()
        self.lines.append(f"{now:9.4f} {text}")
        return now

    def now(self):
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.started_at


async def read_message(reader):
    """Returns (first line, headers by lower-case name, body) of a message; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode("latin-1")] = value.strip().decode("latin-1")
    length = int(headers.get("content-length", "0"))
    return first.decode("latin-1"), headers, await reader.readexactly(length) if length else b""


def response(status, body=b"", headers=""):
    """Returns the bytes of a response."""
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """A server on a loopback port; a subclass serves each connection.

    Attributes:
        address: Its address as text, once started.
    """

    def __init__(self, record):
        self.record = record
        self.address = None
        self._server = None
        self._tasks = set()

    async def start(self, port):
        """Starts to listen; returns itself."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"
        return self

    def spawn(self, coroutine):
        """Runs a coroutine until it ends or the server is stopped."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connected(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer):
        """Serves a connection until it ends."""
        raise NotImplementedError

    def stop(self):
        """Ends at once, as a process that dies: connections end, new ones are refused."""
        if self._server:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()


@dataclass
class Job:
    """A job at an executor.

    Attributes:
        id: The request's id.
        sent_at: When its message came, in seconds of the record.
        node: The node that it came from, by the id's part before the first "-".
        ended_at: When it had run; None while it waits or runs.
        told_ms: The time that the node told the executor, in milliseconds.
    """

    id: str
    sent_at: float
    node: str
    ended_at: float | None = None
    told_ms: int = 0


class Executor(Server):
    """An executor: takes jobs with 202, runs them in its slots in order, and calls back.

    The body of a job is JSON: the running time `work_ms`, and `who` sent it, which the result repeats.

    Attributes:
        name: Its name in the list.
        nodes: The address for call-backs of each node, by the part of a job's id before the first "-".
        jobs: All jobs that came, in order.
        since_ms: When it last started, in milliseconds of Unix time; 0 for long ago.
    """

    def __init__(self, record, name, nodes, slots=4):
        super().__init__(record)
        self.name = name
        self.nodes = nodes
        self.jobs = []
        self.since_ms = 0
        self._slots = asyncio.Semaphore(slots)

    async def serve(self, reader, writer):
        """Answers the messages of a connection."""
        while True:
            first, headers, body = await read_message(reader)
            method, target, _ = first.split(" ", 2)
            if method == "POST":
                request_id = headers["x-request-id"]
                told = int(headers.get("x-timeout-ms", "0"))
                now = self.record.note(f"{self.name} gets {request_id} {target}")
                job = Job(request_id, now, request_id.partition("-")[0], None, told)
                self.jobs.append(job)
                writer.write(response("202 Accepted"))
                work = json.loads(body)
                result = " ".join(filter(None, (self.name, request_id, work.get("who"))))
                self.spawn(self._run(job, work["work_ms"] / 1000, result))
            elif method == "DELETE":
                self.record.note(f"{self.name} is told to give up {target.rpartition('/')[2]}")
                writer.write(response("200 OK"))
            else:
                writer.write(response("200 OK" if target == "/alive" else "404 Not Found"))
            await writer.drain()

    async def _run(self, job, seconds, result):
        async with self._slots:
            self.spawn(self._call_back(job, "started"))
            rest = seconds
            while rest > 1:
                await asyncio.sleep(1)
                rest -= 1
                self.spawn(self._call_back(job, "running", share=round(1 - rest / seconds, 3)))
            await asyncio.sleep(rest)
            job.ended_at = self.record.note(f"{self.name} has run {job.id}")
        await self._call_back(job, "done", result=result)

    def running(self):
        """Returns the ids of the jobs that have not run to their end."""
        return {job.id for job in self.jobs if job.ended_at is None}

    async def stop_with_jobs(self, patience=5.0):
        """Stops the executor while jobs run there; returns their ids, an empty set if none came in time."""
        ends_at = self.record.now() + patience
        while not self.running() and self.record.now() < ends_at:
            await asyncio.sleep(0.005)
        lost = self.running()
        self.record.note(f"{self.name} is stopped, running there: {sorted(lost)}")
        self.stop()
        return lost

    async def _call_back(self, job, state, **fields):
        """Tells the node of a job until it is answered, ten times at most."""
        body = json.dumps({"id": job.id, "from": self.name, "state": state, **fields}).encode()
        host, _, port = self.nodes[job.node].rpartition(":")
        head = f"POST /_jobs/news HTTP/1.1\r\nHost: node\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        for _ in range(CALL_BACK_TRIES):
            writer = None
            try:
                async with asyncio.timeout(CALL_BACK_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(head + body)
                    first, _, _ = await read_message(reader)
                if first.split()[1] in ("200", "204"):
                    return
            except (OSError, EOFError, TimeoutError, ValueError):
                pass
            finally:
                if writer:
                    writer.close()
            await asyncio.sleep(CALL_BACK_PAUSE_S)


class Discovery(Server):
    """Discovery: the whole list, or a watch on changes.

    Attributes:
        rows: The rows of the list by name; a row that is gone is left out.
        index: The version of the list.
        told: When a change of an executor was last written to a connection, by (name, status).
    """

    def __init__(self, record):
        super().__init__(record)
        self.rows = {}
        self.index = 41
        self.told = {}
        self._history = []
        self._changed = asyncio.Condition()

    def add(self, executor, zone="a", kind="std", cell=0):
        """Adds a ready executor to the first list."""
        self.rows[executor.name] = {
            "name": executor.name,
            "address": executor.address,
            "zone": zone,
            "type": kind,
            "group": cell,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": executor.since_ms,
        }

    def whole(self):
        """Returns the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())}

    async def change(self, name, **fields):
        """Changes a row, in a new version."""
        async with self._changed:
            row = {**self.rows[name], **fields}
            self.index += 1
            self._history.append((self.index, row))
            self.rows[name] = row
            if row["status"] == "Gone":
                del self.rows[name]
            self.record.note(f"discovery has {name} {row['status']}, version {self.index}")
            self._changed.notify_all()

    async def serve(self, reader, writer):
        """Answers the calls of a connection."""
        while True:
            first, _, _ = await read_message(reader)
            url = urlsplit(first.split(" ")[1])
            query = parse_qs(url.query)
            listing = await self._listing(query)
            writer.write(response("200 OK", json.dumps(listing).encode()))
            await writer.drain()
            for row in listing["endpoints"]:
                if row["status"] != "Ready":
                    now = self.record.now()
                    self.told.setdefault((row["name"], row["status"]), now)
                    self.record.note(
                        f"discovery has told of {row['name']} {row['status']} (version {listing['index']})"
                    )

    async def _listing(self, query):
        if "after" not in query:
            return self.whole()
        after = int(query["after"][0])
        wait = min(float(query.get("wait_ms", ["0"])[0]) / 1000, MAX_WATCH_S)
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(lambda: self.index > after)
            rows = {row["name"]: row for version, row in self._history if version > after}
            return {"index": self.index, "snapshot": False, "endpoints": list(rows.values())}


@dataclass
class Asked:
    """A request of a client.

    Attributes:
        id: Its X-Request-ID.
        sent_at: When its last byte was written, in seconds of the record.
        timeout: How long the client waits, in seconds.
        status: The status of its answer; 0 if the connection ended without one, None while it waits.
        answered_at: When its answer was whole, or its connection had ended.
        body: The body of its answer.
    """

    id: str
    sent_at: float
    timeout: float
    status: int | None = None
    answered_at: float | None = None
    body: str = ""


@dataclass
class Clients:
    """Clients of one node: each request on a free kept connection, or on a new one.

    Attributes:
        record: The `Record`.
        name: The node's name, the first part of each request's id.
        address: The node's address.
        asked: All requests, in order.
    """

    record: Record
    name: str
    address: str
    asked: list[Asked] = field(default_factory=list)
    _idle: list = field(default_factory=list)

    async def ask(self, operation, timeout, work_ms, slack=1.0, request_id=None, who=None):
        """Sends a request and waits for its answer, `slack` seconds longer than its client timeout.

        Args:
            operation: The operation.
            timeout: How long the client waits, in seconds.
            work_ms: The running time of the job.
            slack: How much longer an answer is waited for, in seconds.
            request_id: The request's id; None for a new one.
            who: Who sends it, a part of the job's result; None to say nothing.
        """
        request_id = request_id or f"{self.name}-{len(self.asked)}"
        asked = Asked(request_id, 0.0, timeout)
        self.asked.append(asked)
        body = json.dumps({"work_ms": work_ms, "who": who}).encode()
        message = (
            f"POST /{operation}/k HTTP/1.1\r\nHost: node\r\nX-Request-ID: {request_id}\r\n"
            f"X-Priority-Class: {operation}\r\nX-Tenant-Id: t\r\nX-Timeout-Ms: {int(timeout * 1000)}\r\n"
            f"Idempotency-Key: key-{request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        await self._exchange(asked, message, timeout + slack)
        return asked

    async def _exchange(self, asked, message, patience):
        host, _, port = self.address.rpartition(":")
        for _ in range(3):
            is_kept = bool(self._idle)
            writer = None
            try:
                async with asyncio.timeout(patience):
                    connection = self._idle.pop() if is_kept else None
                    reader, writer = connection or await asyncio.open_connection(host, int(port))
                    writer.write(message)
                    asked.sent_at = self.record.note(f"client sends {asked.id}")
                    first, headers, body = await read_message(reader)
                asked.status = int(first.split()[1])
                asked.body = body.decode(errors="replace")
                if headers.get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self._idle.append((reader, writer))
                break
            except asyncio.CancelledError:
                writer and writer.close()
                raise
            except TimeoutError:
                writer and writer.close()
                break
            except (OSError, EOFError, ValueError):
                writer and writer.close()
                asked.status = 0
                if not is_kept:
                    break  # A kept connection may have been closed between requests: once more on a new one.
        asked.answered_at = self.record.note(f"client has {asked.status} {asked.body!r} for {asked.id}")

    def answers(self, ids):
        """Returns what the clients have for these requests, as text."""
        return ", ".join(f"{asked.status} for {asked.id}" for asked in self.asked if asked.id in ids)

    def close(self):
        """Closes the kept connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()
