"""Small stand-ins for the platform, used by the scenes of this review; the standard library only.

They follow the protocol page of the operators' kit: discovery answers lists and watches, executors answer 202
and call back, clients send one request at a time on a connection of its own. Everything listens on 127.0.0.1.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
CALL_BACK_TRIES = 10
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The scene could not be brought about, so it says nothing about the rule."""


class Record:
    """The record of a run: what was sent, answered and run, with seconds since its beginning.

    Attributes:
        started: Monotonic time of the beginning.
    """

    def __init__(self, path):
        self.started = time.monotonic()
        self._file = open(path, "w", buffering=1)  # noqa: SIM115

    def now(self):
        """Returns the seconds since the beginning."""
        return time.monotonic() - self.started

    def add(self, *words):
        """Writes a line and returns its time."""
        at = self.now()
        self._file.write(f"{at:8.3f} {' '.join(str(word) for word in words)}\n")
        return at


def free_port(kind=socket.SOCK_STREAM):
    """Returns a port of the loopback address that is free at present."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Returns the first line, the headers and the body of a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def response(status, body=b"", headers=""):
    """Returns the bytes of a response."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


async def call(port, method, target, body=b"", headers=(), timeout=5.0):
    """Sends one request on a new connection.

    Returns:
        The status code and the body; a status of 0 if the connection ends or the time is up before that.
    """
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = f"{method} {target} HTTP/1.1\r\nHost: x\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(head.encode() + body)
            message = await read_message(reader)
    except (TimeoutError, OSError):
        message = None
    finally:
        if writer:
            writer.close()
    if message is None:
        return 0, b""
    return int(message[0].split()[1]), message[2]


class Discovery:
    """Discovery, as one agent for each node: an executor may have another address at each node.

    Attributes:
        port_of: Port of the agent of each node, by the node's name.
    """

    def __init__(self, record):
        self.port_of = {}
        self._record = record
        self._version = 1
        self._rows = {}
        self._changed_at = {}
        self._change = asyncio.Event()

    async def listen(self, node):
        """Starts the agent of a node."""
        server = await asyncio.start_server(lambda *pair: self._serve(node, *pair), HOST, 0)
        self.port_of[node] = server.sockets[0].getsockname()[1]

    def add(self, executor, ports, zone, status="Ready", since_ms=0):
        """Lists an executor, or changes its row; `ports` has its port at each node."""
        self._version += 1
        self._rows[executor] = (ports, zone, status, since_ms)
        self._changed_at[executor] = self._version
        self._record.add("discovery lists", executor, status, "version", self._version)
        self._change.set()
        self._change = asyncio.Event()

    def listing(self, node, after=None):
        """Returns the whole list as the node sees it, or the rows changed after a version."""
        rows = [
            {
                "name": name,
                "address": f"{HOST}:{ports[node]}",
                "zone": zone,
                "type": "std",
                "group": 0,
                "status": status,
                "weight": 1.0,
                "since_ms": since_ms,
            }
            for name, (ports, zone, status, since_ms) in self._rows.items()
            if after is None or self._changed_at[name] > after
        ]
        return {"index": self._version, "snapshot": after is None, "endpoints": rows}

    async def _serve(self, node, reader, writer):
        try:
            while message := await read_message(reader):
                query = message[0].split()[1].partition("?")[2]
                fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
                after = int(fields["after"]) if "after" in fields else None
                wait = int(fields.get("wait_ms", 0)) / 1000
                if after is not None and after >= self._version and wait:
                    try:
                        await asyncio.wait_for(self._change.wait(), wait)
                    except TimeoutError:
                        pass
                writer.write(response(200, json.dumps(self.listing(node, after)).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Job:
    """A job that an executor has accepted.

    Attributes:
        id: Its request's identifier.
        executor: The executor's name.
        node: The node that sent it.
        headers: Headers of the attempt.
        arrived: When its last byte had come, in seconds of the record.
        ended: When it ended; None while it runs.
    """

    def __init__(self, id, executor, node, headers, arrived):
        self.id = id
        self.executor = executor
        self.node = node
        self.headers = headers
        self.arrived = arrived
        self.ended = None


class Executor:
    """An executor with a port for each node; a scene's function says what becomes of each job.

    Attributes:
        name: Its name.
        port_of: Its port at each node, by the node's name.
        jobs: The `Job`s that it has accepted, in order.
        is_alive: Whether its process runs.
        used_connections: Number of connections on which a message has come.
    """

    def __init__(self, name, record, call_back_ports, work):
        """Creates an executor that does not listen yet.

        Args:
            name: Its name.
            record: The `Record`.
            call_back_ports: Port of each node's listener, by the node's name.
            work: Coroutine function work(executor, job), which runs a job; returns the state that the
                executor reports (with `result`), or None to report nothing.
        """
        self.name = name
        self.port_of = {}
        self.jobs = []
        self.is_alive = True
        self.used_connections = 0
        self._record = record
        self._call_back_ports = call_back_ports
        self._work = work
        self._servers = []
        self._connections = set()
        self._running = {}

    async def listen(self, node, backlog=100, port=0):
        """Listens for attempts of a node."""
        server = await asyncio.start_server(
            lambda *pair: self._serve(node, *pair), HOST, port, backlog=backlog
        )
        self.port_of[node] = server.sockets[0].getsockname()[1]
        self._servers.append(server)

    def stop_listening(self):
        """Closes the listening sockets; connections stay open."""
        for server in self._servers:
            server.close()
        self._servers.clear()

    async def serve_on(self, node, listening_socket):
        """Serves a listening socket that the scene has made."""
        server = await asyncio.start_server(lambda *pair: self._serve(node, *pair), sock=listening_socket)
        self._servers.append(server)

    def running(self, node=None):
        """Returns the jobs that run now, of one node or of all."""
        return [job for job in self.jobs if job.ended is None and node in (None, job.node)]

    def die(self):
        """Ends the process: its jobs are lost and its connections reset.

        The machine's agent sees the process die and reports each job as lost.
        """
        self.is_alive = False
        for server in self._servers:
            server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        for job in self.running():
            self._end(job, "lost")
            task = self._running.pop(job.id, None)
            if task:
                task.cancel()
            asyncio.create_task(self._call_back(job, {"state": "lost"}))

    async def restart(self):
        """Starts a new process at the same addresses after `die`."""
        self._servers.clear()
        self.is_alive = True
        for node, port in self.port_of.items():
            await self.listen(node, port=port)
        self._record.add(self.name, "has been started anew")

    async def _serve(self, node, reader, writer):
        self._connections.add(writer)
        is_used = False
        try:
            while message := await read_message(reader):
                self.used_connections += not is_used
                is_used = True
                writer.write(self._answer(node, *message))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    def _answer(self, node, first, headers, body):
        method, target, _ = first.split()
        if method == "DELETE":
            id = target.rpartition("/")[2]
            self._record.add(self.name, "gets DELETE of", id, "from", node)
            return response(200)
        if method != "POST":
            return response(404)
        id = headers.get("x-request-id", "")
        arrived = self._record.add(
            self.name,
            "gets",
            first.split()[1],
            "id",
            id,
            "from",
            node,
            "told ms",
            headers.get("x-timeout-ms"),
        )
        job = Job(id, self.name, node, headers, arrived)
        self.jobs.append(job)
        self._running[id] = asyncio.create_task(self._run(job))
        return response(202)

    async def _run(self, job):
        await self._call_back(job, {"state": "started"})
        report = await self._work(self, job)
        if job.ended is None:
            self._end(job, report["state"] if report else "no report")
            if report:
                await self._call_back(job, report)

    def _end(self, job, how):
        job.ended = self._record.add(self.name, "ends", job.id, "as", how)

    async def _call_back(self, job, report):
        body = json.dumps({"id": job.id, "from": self.name, **report}).encode()
        port = self._call_back_ports[job.node]
        for _ in range(CALL_BACK_TRIES):
            status, _ = await call(port, "POST", "/_jobs/news", body, timeout=1.0)
            if status in (200, 204):
                return
            await asyncio.sleep(0.1)


class Node:
    """One node's addresses and processes, started by `run` of the deploy file.

    Attributes:
        name: Its name.
        port: Port for clients and call-backs.
        console: Port of the admin API of the process started last.
        process: The process started last.
    """

    def __init__(self, name, record, folder):
        self.name = name
        self.port = free_port()
        self.console = None
        self.process = None
        self._record = record
        self._folder = Path(folder, name)
        self._folder.mkdir()
        self._count = 0

    async def start(self, configuration):
        """Starts a process with this configuration and a console of its own; does not wait for it."""
        self._count += 1
        self.console = free_port()
        path = self._write_file(configuration)
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        environ = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        environ |= {"BALANCER_CONFIG": str(path), "TMPDIR": str(self._folder)}
        with open(self._folder / f"log-{self._count}.txt", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environ, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )
        self._record.add(self.name, "process", self._count, "started")
        return self.process

    def _write_file(self, configuration):
        content = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "console": f"{HOST}:{self.console}",
            **configuration,
        }
        path = self._folder / f"config-{self._count}.json"
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(content))
        new_path.rename(path)
        return path

    async def reload(self, configuration):
        """Replaces the file of the process started last, sends SIGHUP and waits for the log's answer."""
        self._write_file(configuration)
        before = self.log_text().count(" reload ")
        self.process.send_signal(signal.SIGHUP)
        await until(lambda: self.log_text().count(" reload ") > before, 5, "the reload's log line")
        line = [line for line in self.log_text().splitlines() if " reload " in line][-1]
        self._record.add(self.name, "SIGHUP, log:", line.partition("INFO ")[2] or line)
        if "reload done" not in line:
            raise CannotRunError(line)

    async def until_ready(self, timeout=15.0):
        """Waits for the process's yes on `readyz`."""
        await until(lambda: self._is_ready(), timeout, f"{self.name} ready")
        self._record.add(self.name, "process", self._count, "is ready")

    async def _is_ready(self):
        return (await call(self.console, "GET", "/v1/readyz", timeout=1.0))[0] == 200

    async def operator(self, method, path, content=None, console=None, quiet=False):
        """Makes an operator's call; returns the status and the text."""
        body = b"" if content is None else json.dumps(content).encode()
        status, text = await call(console or self.console, method, path, body)
        if not quiet:
            self._record.add("operator:", method, path, "at", self.name, "->", status, text.decode()[:300])
        return status, text

    def log_text(self):
        """Returns the text of all logs of its processes."""
        files = sorted(self._folder.glob("log-*.txt"))
        return "\n".join(f"--- {path.name}\n{path.read_text(errors='replace')}" for path in files)


async def until(condition, timeout, what, interval=0.02):
    """Waits until a function, plain or a coroutine function, returns something true; returns that."""
    deadline = time.monotonic() + timeout
    while True:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        if time.monotonic() > deadline:
            raise CannotRunError(f"timed out: {what}")
        await asyncio.sleep(interval)


class Client:
    """Sends requests to nodes and records their final answers.

    Attributes:
        answers: Status code by identifier; 0 for a connection that ended without an answer.
    """

    def __init__(self, record, prefix="r"):
        self.answers = {}
        self._record = record
        self._prefix = prefix
        self._count = 0
        self._tasks = set()

    def send(self, node, operation, timeout_ms, headers=()):
        """Sends a request in the background; returns its identifier."""
        self._count += 1
        id = f"{self._prefix}{self._count:03d}-{os.getpid()}"
        self._record.add("client sends", operation, "id", id, "to", node.name)
        task = asyncio.create_task(self._send(node.port, operation, timeout_ms, id, headers))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return id

    async def _send(self, port, operation, timeout_ms, id, headers):
        lines = [
            ("X-Request-ID", id),
            ("X-Priority-Class", operation),
            ("X-Timeout-Ms", timeout_ms),
            ("Idempotency-Key", f"key-{id}"),
            *headers,
        ]
        status, _ = await call(
            port, "POST", f"/{operation}/{id}", b"job", lines, timeout=timeout_ms / 1000 + 1.0
        )
        self.answers[id] = status
        self._record.add("client gets", status, "for", id)

    async def finished(self):
        """Waits for all answers."""
        while self._tasks:
            await asyncio.wait(self._tasks)


async def end_processes(processes):
    """Ends processes that are still running, each by its id."""
    for process in processes:
        if process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    os.kill(process.pid, number)
                except ProcessLookupError:
                    pass
    for process in processes:
        await process.wait()


def run_scene(folder, scene, limit_s=110):
    """Runs a scene and exits with 1 if the rule was broken, 0 if it held, 2 if the scene could not run.

    Args:
        folder: The case's folder, for `record.txt`.
        scene: Coroutine function scene(record, temporary folder, processes, trouble), which returns the list
            of breaks found; it appends each process that it starts to `processes`.
        limit_s: Seconds after which the scene counts as not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        record = Record(Path(folder, "record.txt"))
        record.add("disruption:", "yes" if trouble else "no")
        processes = []
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                async with asyncio.timeout(limit_s):
                    breaks = await scene(record, temporary, processes, trouble)
            except (CannotRunError, TimeoutError, OSError) as problem:
                record.add("could not run:", repr(problem))
                return COULD_NOT_RUN
            finally:
                await end_processes(processes)
                if os.environ.get("KEEP_LOGS"):
                    for path in sorted(Path(temporary).rglob("log-*.txt")):
                        print(f"=== {path}\n{path.read_text(errors='replace')}", file=sys.stderr)
            for line in breaks:
                record.add("BROKEN:", line)
                print("BROKEN:", line)
            record.add("rule broken" if breaks else "rule held")
            return BROKEN if breaks else HELD

    sys.exit(asyncio.run(main()))
