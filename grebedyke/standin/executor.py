"""An executor on a socket: takes jobs, tells of them by call-backs, and goes wrong as its script says."""

import asyncio
import json

from grebedyke.standin import talk
from grebedyke.standin.faults import Script
from grebedyke.standin.model import Worker

RETRIES = 10


class Executor(talk.Server):
    """`nodes`: addresses for call-backs by the part of a job's id before its first '-'.

    A job's body is JSON; `work_ms` in it is its running time at speed 1 (100 without it). `GET /runs` gives
    what took effect, and when each forward came.
    """

    def __init__(self, name, nodes, worker=None, script=None, reports=True):
        super().__init__()
        self.name, self.nodes, self.script, self.reports = name, nodes, script or Script(), reports
        self.loop = asyncio.get_running_loop()
        self.start, self.worker = self.loop.time(), worker or Worker()
        self.worker.born += self.start
        self.forwards, self.calls, self.timer, self.given_up = [], set(), None, set()

    def bad(self, kind):
        return self.script.on(kind, self.loop.time() - self.start)

    async def serve(self, reader, writer):
        if self.bad("refuse"):
            return writer.transport.abort()
        while asked := await talk.read(reader):
            (method, target, *_), headers, body = asked
            if self.bad("hang"):
                return await asyncio.sleep(3600)
            if not await self.answer(writer, method, target, headers, body):
                return
            await writer.drain()

    async def answer(self, writer, method, target, headers, body):
        """Whether the connection goes on."""
        if method == "GET":
            return self.look(writer, target)
        id = headers.get("x-request-id", "")
        if method == "DELETE":
            self.worker.drop(target.rpartition("/")[2])
            self.given_up.add(target.rpartition("/")[2])
            writer.write(talk.message("HTTP/1.1 200 OK"))
        elif not id:
            writer.write(talk.message("HTTP/1.1 404 Not Found"))
        elif self.bad("full"):
            writer.write(talk.message("HTTP/1.1 503 Busy", X_Not_Processed=1))
        elif self.bad("error"):
            writer.write(talk.message("HTTP/1.1 500 Error"))
        else:
            return await self.take(writer, target, headers, body, id)
        return True

    def look(self, writer, target):
        if target == "/alive":
            writer.write(talk.message("HTTP/1.1 200 OK"))
        elif target == "/metrics/load" and self.reports:
            writer.write(talk.message("HTTP/1.1 200 OK", self.load().encode()))
        elif target == "/runs":
            told = {"name": self.name, "runs": self.worker.runs, "forwards": self.forwards}
            writer.write(talk.message("HTTP/1.1 200 OK", json.dumps(told).encode()))
        else:
            writer.write(talk.message("HTTP/1.1 404 Not Found"))
        return True

    def load(self):
        return "TEXT " + ", ".join(f"{name}={n}" for name, n in self.worker.report().items())

    async def take(self, writer, target, headers, body, id):
        now = self.loop.time()
        self.forwards.append((id, now))
        self.given_up.discard(id)
        try:
            work = float(json.loads(body or b"{}").get("work_ms", 100)) / 1000
        except (ValueError, AttributeError, TypeError):
            work = 0.1
        operation = target.split("?")[0].split("/")[1]
        what = self.worker.take(now, id, headers.get("idempotency-key", ""), operation, work)
        if what == "fell":
            await self.close()
            return False
        if what == "full":
            writer.write(talk.message("HTTP/1.1 503 Busy", X_Not_Processed=1, X_Server_Load=self.load()))
            return True
        self.arm()
        if self.bad("before"):
            await self.tell(id, "done", result="early")
        elif what == "began":
            self.spawn(self.tell(id, "started"))
        if self.bad("late"):
            await asyncio.sleep(2)
        if self.bad("reset"):
            writer.write(b"HTTP/1.1 202 Acc")
            await writer.drain()
            writer.transport.abort()
            return False
        if self.bad("odd"):
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: +0\r\n\r\n")
            return True
        writer.write(talk.message("HTTP/1.1 202 Accepted"))
        return True

    def arm(self):
        if self.timer:
            self.timer.cancel()
        at = self.worker.next()
        self.timer = self.loop.call_at(at, self.turn) if at is not None else None

    def turn(self):
        now = self.loop.time()
        for job in self.worker.finished(now):
            if self.bad("lost"):
                self.spawn(self.tell(job.id, "lost"))
            else:
                self.spawn(self.tell(job.id, "done", result=f"{self.name} {job.id}"))
        for job in self.worker.started(now):
            self.spawn(self.tell(job.id, "started"))
        self.arm()

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def tell(self, id, state, **more):
        """Until it is answered, ten times at most; nothing where the script has it fall silent."""
        address = self.nodes.get(id.partition("-")[0])
        if address is None or id in self.given_up or self.bad("silent") or self.bad("hang"):
            return
        if state != "started" and self.reports:
            more["load"] = self.worker.report()
        news = json.dumps({"id": id, "from": self.name, "state": state, **more}).encode()
        for again in range(1 + self.bad("twice")):
            for tries in range(RETRIES):
                status, _ = await talk.call(address, "POST /_jobs/news HTTP/1.1", news)
                if status in (200, 204):
                    break
                await asyncio.sleep(0.1)
        if state == "done" and self.bad("after"):
            late = json.dumps({"id": id, "from": self.name, "state": "running", "share": 0.9}).encode()
            await talk.call(address, "POST /_jobs/news HTTP/1.1", late)

    async def restart(self):
        """Cold, under its name and address; what it held is lost without a word."""
        host, port = self.address
        await self.close()
        self.worker.restart(self.loop.time())
        await self.listen(host, port)

    async def close(self):
        if self.timer:
            self.timer.cancel()
        await super().close()
        for task in list(self.calls):
            task.cancel()
