"""An emulator of an executor: runs jobs, sends job updates, and shows faults according to a script."""

import asyncio
import json
from typing import NamedTuple

from grebedyke.emulators import http_messages
from grebedyke.emulators.executor_model import Admission, ExecutorModel
from grebedyke.emulators.faults import FaultKind, FaultScript

MAX_UPDATE_SENDS = 10
UPDATE_RETRY_DELAY = 0.1
"""Seconds until a job update that was not acknowledged is sent again."""

UPDATE_TARGET = "/_jobs/news"
HANG_TIME = 3600.0
"""Seconds for which the fault `hang` keeps a connection open without a response."""
LATE_RESPONSE_DELAY = 2.0
"""Seconds by which the fault `late` delays the 202."""
DEFAULT_WORK_MS = 100
MILLISECONDS_PER_SECOND = 1000


class Arrival(NamedTuple):
    """An attempt that reached the executor.

    Attributes:
        id: The request's id.
        time: The time of arrival, in seconds of the event loop's clock.
    """

    id: str
    time: float


class ExecutorEmulator(http_messages.LoopbackServer):
    """Serves an `ExecutorModel` on a socket.

    The body of a job is JSON; its field `work_ms` is the running time at speed 1. `GET /runs` returns the
    effects and arrivals for the ledger of the load tool.

    Attributes:
        name: The executor's name.
        nodes: Addresses for job updates, by the part of a request's id before its first "-".
        model: The state of the executor.
        script: The faults of the executor.
        reports_load: Whether the executor sends load reports and answers load report requests.
        arrivals: All arrivals, in order.
    """

    def __init__(self, name, nodes, model=None, script=None, reports_load=True):
        super().__init__()
        self.name = name
        self.nodes = nodes
        self.model = model or ExecutorModel()
        self.script = script or FaultScript()
        self.reports_load = reports_load
        self.arrivals = []
        self._loop = asyncio.get_running_loop()
        self._start_time = self._loop.time()
        self.model.started_at += self._start_time
        self._update_tasks = set()  # Keeps the tasks alive; the event loop holds only weak references.
        self._timer = None
        self._cancelled_ids = set()

    def _fails(self, kind):
        return self.script.occurs(kind, self._loop.time() - self._start_time)

    async def serve(self, reader, writer):
        """Answers the requests on a connection."""
        if self._fails(FaultKind.REFUSE):
            return writer.transport.abort()
        while request := await http_messages.read_message(reader):
            if self._fails(FaultKind.HANG):
                return await asyncio.sleep(HANG_TIME)
            if not await self._answer(writer, request):
                return
            await writer.drain()

    async def _answer(self, writer, request):
        """Answers a request; returns whether the connection stays open."""
        method, target = request.start_line[:2]
        id = request.headers.get("x-request-id", "")
        if method == "GET":
            writer.write(self._response_to_get(target))
        elif method == "DELETE":
            cancelled_id = target.rpartition("/")[2]
            self.model.cancel(cancelled_id)
            self._cancelled_ids.add(cancelled_id)
            writer.write(http_messages.format_message("HTTP/1.1 200 OK"))
        elif not id:
            writer.write(http_messages.format_message("HTTP/1.1 404 Not Found"))
        elif self._fails(FaultKind.FULL):
            writer.write(http_messages.format_message("HTTP/1.1 503 Busy", headers={"X-Not-Processed": 1}))
        elif self._fails(FaultKind.ERROR):
            writer.write(http_messages.format_message("HTTP/1.1 500 Error"))
        else:
            return await self._accept_job(writer, request, id)
        return True

    def _response_to_get(self, target):
        """Returns the response to a GET request."""
        if target == "/alive":
            body = b""
        elif target == "/metrics/load" and self.reports_load:
            body = self._load_header().encode()
        elif target == "/runs":
            runs = {"name": self.name, "runs": self.model.effects, "forwards": self.arrivals}
            body = json.dumps(runs).encode()
        else:
            return http_messages.format_message("HTTP/1.1 404 Not Found")
        return http_messages.format_message("HTTP/1.1 200 OK", body)

    def _load_header(self):
        report = self.model.load_report()
        return "TEXT " + ", ".join(f"{name}={value}" for name, value in report.items())

    async def _accept_job(self, writer, request, id):
        """Accepts or rejects a job; returns whether the connection stays open."""
        now = self._loop.time()
        self.arrivals.append(Arrival(id, now))
        self._cancelled_ids.discard(id)
        operation = request.start_line[1].split("?")[0].split("/")[1]
        key = request.headers.get("idempotency-key", "")
        admission = self.model.submit(now, id, key, operation, _work_of_job(request.body))
        if admission == Admission.OVERLOADED:
            await self.close()
            return False
        if admission == Admission.REJECTED:
            headers = {"X-Not-Processed": 1, "X-Server-Load": self._load_header()}
            writer.write(http_messages.format_message("HTTP/1.1 503 Busy", headers=headers))
            return True
        self._set_timer()
        if self._fails(FaultKind.BEFORE):
            await self._send_updates(id, "done", result="early")
        elif admission == Admission.STARTED:
            self._spawn(self._send_updates(id, "started"))
        return await self._send_confirmation(writer)

    async def _send_confirmation(self, writer):
        """Answers 202, or according to the faults; returns whether the connection stays open."""
        if self._fails(FaultKind.LATE):
            await asyncio.sleep(LATE_RESPONSE_DELAY)
        if self._fails(FaultKind.RESET):
            writer.write(b"HTTP/1.1 202 Acc")
            await writer.drain()
            writer.transport.abort()
            return False
        if self._fails(FaultKind.ODD):
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: +0\r\n\r\n")
            return True
        writer.write(http_messages.format_message("HTTP/1.1 202 Accepted"))
        return True

    def _set_timer(self):
        """Sets the timer for the end of the next job."""
        if self._timer:
            self._timer.cancel()
        next_end = self.model.next_end()
        self._timer = self._loop.call_at(next_end, self._end_jobs) if next_end is not None else None

    def _end_jobs(self):
        now = self._loop.time()
        for job in self.model.take_finished(now):
            if self._fails(FaultKind.LOST):
                self._spawn(self._send_updates(job.id, "lost"))
            else:
                self._spawn(self._send_updates(job.id, "done", result=f"{self.name} {job.id}"))
        for job in self.model.start_waiting(now):
            self._spawn(self._send_updates(job.id, "started"))
        self._set_timer()

    def _spawn(self, coroutine):
        task = self._loop.create_task(coroutine)
        self._update_tasks.add(task)
        task.add_done_callback(self._update_tasks.discard)

    async def _send_updates(self, id, state, **fields):
        """Sends a job update until it is acknowledged, at most `MAX_UPDATE_SENDS` times."""
        address = self.nodes.get(id.partition("-")[0])
        if address is None or id in self._cancelled_ids:
            return
        if self._fails(FaultKind.SILENT) or self._fails(FaultKind.HANG):
            return
        if state != "started" and self.reports_load:
            fields["load"] = self.model.load_report()
        update = {"id": id, "from": self.name, "state": state, **fields}
        for _ in range(2 if self._fails(FaultKind.TWICE) else 1):
            for _ in range(MAX_UPDATE_SENDS):
                if await self._send_update(address, update) in (200, 204):
                    break
                await asyncio.sleep(UPDATE_RETRY_DELAY)
        if state == "done" and self._fails(FaultKind.AFTER):
            await self._send_update(address, {"id": id, "from": self.name, "state": "running", "share": 0.9})

    async def _send_update(self, address, update):
        response = await http_messages.call(address, "POST", UPDATE_TARGET, json.dumps(update).encode())
        return response.status

    async def restart(self):
        """Restarts the executor cold at the same address; no updates are sent for its previous jobs."""
        host, port = self.address
        await self.close()
        self.model.restart(self._loop.time())
        await self.listen(host, port)

    async def close(self):
        """Stops the executor abruptly, like a killed process."""
        if self._timer:
            self._timer.cancel()
        await super().close()
        for task in list(self._update_tasks):
            task.cancel()


def _work_of_job(body):
    """Returns the work of a job in seconds, from its body."""
    try:
        return float(json.loads(body or b"{}").get("work_ms", DEFAULT_WORK_MS)) / MILLISECONDS_PER_SECOND
    except (ValueError, AttributeError, TypeError):
        return DEFAULT_WORK_MS / MILLISECONDS_PER_SECOND
