"""An answer that an executor of another data centre sends twice makes a non-idempotent job run twice."""

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins  # noqa: E402

# The brief: 10 to 20 ms one way between the data centres.
ONE_WAY_S = 0.015
# The operators' page: a second answer may come some milliseconds late.
SECOND_ANSWER_S = 0.006
LOAD_S = 60
REQUESTS_PER_S = 75
REJECTED_SHARE = 0.1
JOB_S = (0.03, 0.08)

SETTINGS = {
    "balancers": 1,
    "me": 0,
    "tickMs": 5,
    "zone": "budapest-1",
    "machineTypes": ["std"],
    "operations": [
        {
            "name": "pitch-hold",
            "idempotency": "keyed",
            "group": "zone",
            "windowMs": 10_000,
            "latencyObjectiveMs": 250,
            "aimStretch": 2.5,
            "clientTimeoutMs": 6000,
        },
        {
            "name": "payment-confirm",
            "idempotency": "unsafe",
            "latencyObjectiveMs": 250,
            "aimStretch": 2.5,
            "clientTimeoutMs": 5000,
        },
    ],
    "limits": {"maxForwards": 5, "mayCancel": True, "connIdleMs": 5000, "connectTimeoutMs": 250},
    "rules": {
        "drainGraceMs": 2000,
        "fallMultiple": 3,
        "coldFrom": 0.31,
        "rampTimeMs": 8600,
        "tipAfterMs": 1000,
    },
    "familyInfo": {"tellsStart": True, "progressMs": 1000},
}


class DistantExecutor:
    """An executor behind a network path with a delay; it turns some pitch-holds away, as its queue is full.

    Attributes:
        name: Its name.
        port: Its port.
        runs: Times at which it began jobs, by identifier.
        second_answers: Number of answers that it sent twice.
    """

    def __init__(self, name, record, node, chance, trouble):
        self.name = name
        self.port = None
        self.runs = {}
        self.second_answers = 0
        self._record = record
        self._node = node
        self._chance = chance
        self._trouble = trouble
        self._tasks = set()

    async def listen(self):
        """Listens for attempts."""
        server = await asyncio.start_server(self._serve, stand_ins.HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def _later(self, delay, call, *arguments):
        asyncio.get_running_loop().call_later(delay, call, *arguments)

    async def _serve(self, reader, writer):
        try:
            while message := await stand_ins.read_message(reader):
                self._later(ONE_WAY_S, self._handle, writer, *message)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _handle(self, writer, first, headers, body):
        """Handles a message that has come through the network."""
        method, target, _ = first.split()
        if method == "DELETE":
            self._record.add(self.name, "gets DELETE of", target.rpartition("/")[2])
            self._send(writer, stand_ins.response(200))
            return
        id = headers["x-request-id"]
        operation = target.split("/")[1]
        if operation == "pitch-hold" and self._chance.random() < REJECTED_SHARE:
            answer = stand_ins.response(503, b"full", "X-Not-Processed: 1\r\n")
            self._record.add(self.name, "turns away", id)
            self._send(writer, answer)
            if self._trouble:
                self.second_answers += 1
                self._later(SECOND_ANSWER_S, self._send, writer, answer)
            return
        self._record.add(self.name, "gets", operation, id, "and answers 202")
        self.runs.setdefault(id, []).append(self._record.now())
        self._send(writer, stand_ins.response(202))
        task = asyncio.create_task(self._run(id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self, writer, data):
        """Sends an answer through the network."""
        self._later(ONE_WAY_S, lambda: writer.is_closing() or writer.write(data))

    async def _run(self, id):
        await self._call_back({"id": id, "state": "started"})
        await asyncio.sleep(self._chance.uniform(*JOB_S))
        self._record.add(self.name, "has run", id)
        await self._call_back({"id": id, "state": "done", "result": "ok"})

    async def _call_back(self, report):
        await asyncio.sleep(ONE_WAY_S)
        body = json.dumps({"from": self.name, **report}).encode()
        await stand_ins.call(self._node.port, "POST", "/_jobs/news", body)


async def scene(record, folder, processes, trouble):
    """Sends a minute of both operations through one node, and counts the runs of each job."""
    chance = random.Random(56)
    discovery = stand_ins.Discovery(record)
    node = stand_ins.Node("n0", record, folder)
    await discovery.listen("n0")
    executors = [DistantExecutor(f"s-{number}", record, node, chance, trouble) for number in range(3)]
    for executor in executors:
        await executor.listen()
        discovery.add(executor.name, {"n0": executor.port}, "debrecen-1")
    configuration = {
        "discovery": f"{stand_ins.HOST}:{discovery.port_of['n0']}",
        "seed": "56",
        "limits": {"sockets": 1024},
        "known": discovery.listing("n0"),
        "settings": SETTINGS,
    }
    processes.append(await node.start(configuration))
    await node.until_ready()
    client = stand_ins.Client(record)
    confirms = []
    end = record.now() + LOAD_S
    while record.now() < end:
        if chance.random() < 0.5:
            confirms.append(client.send(node, "payment-confirm", 5000))
        else:
            client.send(node, "pitch-hold", 6000)
        await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))
    await client.finished()
    record.add("answers sent twice:", sum(executor.second_answers for executor in executors))
    if not confirms:
        raise stand_ins.CannotRunError("no payment-confirm was sent")
    breaks = []
    for id in confirms:
        runs = [(at, executor.name) for executor in executors for at in executor.runs.get(id, ())]
        if len(runs) > 1:
            where = ", ".join(f"{name} at {at:.3f}" for at, name in sorted(runs))
            breaks.append(f"payment-confirm {id} ran {len(runs)} times: {where}; answer {client.answers[id]}")
    return breaks


if __name__ == "__main__":
    stand_ins.run_scene(Path(__file__).resolve().parent, scene)
