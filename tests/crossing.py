"""A node on real sockets with what it talks to; the step that matters is held by the test."""

import asyncio
import os
import socket
import struct
import time

import orjson
from helpers import news

from grebedyke.checks import checked
from grebedyke.service import configuration, node
from grebedyke.service.assembly import assemble
from grebedyke.service.configuration.reading import NODE

OPERATION = {
    "name": "op",
    "idempotency": "unsafe",
    "latencyObjectiveMs": 2000,
    "clientTimeoutMs": 8000,
    "aimStretch": 1.0,
}
TERMS = {
    "balancers": 1,
    "me": 0,
    "tickMs": 5,
    "zone": "a",
    "operations": [OPERATION],
    "limits": {"maxForwards": 5, "connIdleMs": 60000, "connectTimeoutMs": 5000},
    "rules": {
        "coldFrom": 0.3,
        "rampTimeMs": 8000,
        "tipAfterMs": 1000,
        "fallMultiple": 3,
        "drainGraceMs": 2000,
    },
}
ROW = {"zone": "a", "type": "m", "group": 0, "status": "Ready", "since_ms": 0}


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


async def until(true, what="the state that is waited for"):
    end = time.monotonic() + 20
    while not true():
        assert time.monotonic() < end, f"{what} has not come"
        await asyncio.sleep(0.001)


def sockets():
    """Descriptors of sockets that this process holds."""
    held = []
    for fd in os.listdir("/proc/self/fd"):
        try:
            held += [fd] if os.readlink(f"/proc/self/fd/{fd}").startswith("socket:") else []
        except OSError:
            pass
    return len(held)


class Executor:
    """Takes jobs with `answers(line, head)`, 202 as a rule; `seen`: the ids of what came whole, in order."""

    def __init__(self, name="s-1"):
        self.name, self.seen, self.deleted, self.lines = name, [], [], []
        self.answers = lambda line, head: b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
        self.reads = asyncio.Event()
        self.reads.set()

    async def start(self, narrow=False):
        """`narrow`: the kernel takes a few KB from a node, not a whole body."""
        sock = socket.socket()
        if narrow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self.talk, sock=sock, limit=4096)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def row(self, **more):
        return {**ROW, "name": self.name, "address": self.address, **more}

    async def talk(self, reader, writer):
        self.lines.append(writer)
        try:
            while True:
                await self.reads.wait()
                line, *rows = (await reader.readuntil(b"\r\n\r\n"))[:-4].split(b"\r\n")
                head = dict(row.lower().split(b": ", 1) for row in rows)
                await reader.readexactly(int(head.get(b"content-length", 0)))
                if line.startswith(b"POST"):
                    self.seen.append(head[b"x-request-id"])
                elif line.startswith(b"DELETE"):
                    self.deleted.append(line.split()[1].rpartition(b"/")[2])
                if answer := self.answers(line, head):
                    writer.write(answer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Agent:
    """Discovery: `asked` holds the targets, answered by `say(index, rows)`, or by `at_once`."""

    def __init__(self):
        self.asked, self.writers, self.at_once, self.connected = [], [], None, 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.talk, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def talk(self, reader, writer):
        self.connected += 1
        self.writers.append(writer)
        try:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                self.asked.append(target)
                if self.at_once:
                    await self.at_once(target, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def say(self, index, *rows, whole=False, writer=None):
        body = orjson.dumps({"index": index, "snapshot": whole, "endpoints": rows})
        (writer or self.writers[-1]).write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )


class Gate:
    """Connects to `ports` come up when the test says so: done at the kernel, the node's task not resumed."""

    def __init__(self, loop, *addresses):
        self.narrow = False
        self.ports, self.up, self.open = {int(a.rpartition(":")[2]) for a in addresses}, 0, asyncio.Event()
        self.real, loop.create_connection, self.loop = loop.create_connection, self.connect, loop

    async def connect(self, make, host, port, **more):
        transport, protocol = await self.real(make, host, port, **more)
        if self.narrow:
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        if port in self.ports and not self.open.is_set():
            self.up += 1
            try:
                await self.open.wait()
            except asyncio.CancelledError:
                transport.abort()  # as asyncio does with a connect that is cancelled
                raise
        return transport, protocol


class Client:
    """A blocking client: what it does is with the kernel before the loop goes on."""

    def __init__(self, address):
        self.socket = socket.create_connection(address)

    @staticmethod
    def head(id, length, wait=8000, operation="op"):
        head = (
            f"POST /{operation}/k HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: {wait}\r\n"
            f"Idempotency-Key: i-{id}\r\nContent-Length: {length}\r\n\r\n"
        )
        return head.encode()

    def hand_in(self, id="r1", wait=8000, operation="op", body=b"abc"):
        self.socket.sendall(self.head(id, len(body), wait, operation) + body)
        return self

    def leave(self, reset=False):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    async def answer(self):
        self.socket.setblocking(False)
        data, loop = b"", asyncio.get_running_loop()
        while b"\r\n\r\n" not in data:
            part = await asyncio.wait_for(loop.sock_recv(self.socket, 65536), 20)
            if not part:
                break
            data += part
        return data


class Place:
    """A node that serves on real sockets; `async with` ends it and looks at what it leaves behind."""

    def __init__(
        self, *rows, agent=None, read_again=None, gate=(), wait=True, folder=None, listen=None, **more
    ):
        self.folder, self.listen, self.watch_wait = folder, listen, None
        self.rows, self.agent, self.read_again, self.more, self.wait = rows, agent, read_again, more, wait
        self.gated = gate

    async def __aenter__(self):
        self.before = sockets()
        loop = asyncio.get_running_loop()
        self.gate = Gate(loop, *self.gated) if self.gated else None
        settings = {**TERMS, **self.more}
        said = checked(
            NODE,
            {
                "name": "n1",
                "listen": self.listen or "127.0.0.1:%d" % free_port(),
                "discovery": self.agent.address if self.agent else "127.0.0.1:%d" % free_port(),
                "known": {"index": 1, "endpoints": list(self.rows)},
                "settings": settings,
                "folder": self.folder,
            },
        )
        said["settings"] = configuration.terms(said["settings"])
        self.said, self.address = said, said["listen"]
        self.node = assemble(loop, said, self.read_again or (lambda: said))
        self.desk, self.turn, self.pool, self.door = (
            self.node.desk,
            self.node.turn,
            self.node.pool,
            self.node.door,
        )
        # A watch may wait for less than a deployment's would: what comes after it is the same.
        self.node.watch.wait = self.watch_wait or self.node.watch.wait
        self.serving = asyncio.create_task(self.node.serve())
        if self.wait:
            await until(lambda: self.node.phase == node.Phase.SERVING or self.serving.done(), "serving")
        return self

    def endpoint(self, name="s-1"):
        return self.pool.endpoints[name]

    async def tell(self, state, id="r1", name="s-1", more=""):
        client = Client(self.address)
        client.socket.sendall(news(state, name, id, more))
        assert b" 204 " in await client.answer()
        client.leave()

    async def ended(self, client, id="r1", name="s-1"):
        await self.tell("done", id, name)
        assert b" 200 " in await client.answer()
        client.leave()

    async def serves_another(self, executor, id="r2"):
        """The node goes on: an invocation of another client goes out and is answered."""
        client = Client(self.address).hand_in(id)
        await until(lambda: id.encode() in executor.seen, "the other's forward")
        await self.ended(client, id, executor.name)

    async def settled(self):
        """Nothing is under way any more."""
        await until(lambda: not self.left_over(), f"rest: {self.left_over()}")

    def left_over(self):
        """What a node holds of invocations that are over: entries, forwards, lines, slots, leases."""
        d, pool = self.desk.dispatcher, self.pool
        busy = [line for line in pool.lines if line.call or line not in line.endpoint.idle]
        return {
            name: what
            for name, what in (
                ("owed", self.desk.owed),
                ("invocations", d.requests),
                ("held", [i for i in d.queue.waiting if i.queued]),
                ("leases", d.lending.leases),
                ("out", [e for e in d.endpoints.by_id.values() if e.in_flight or e.slots_in_use]),
                ("flights", [e for e in pool.endpoints.values() if e.flights]),
                ("busy lines", busy),
                ("opening", pool.opening),
            )
            if what
        }

    async def __aexit__(self, kind, *_):
        if kind is not None:
            self.serving.cancel()
            return False
        await self.settled()
        if self.node.phase == node.Phase.SERVING:
            self.node.stop()
        await asyncio.wait_for(self.serving, 20)
        await until(lambda: not self.pool.lines and not self.door.clients or self.drop_idle(), "all closed")
        # Entries of the heap that still hold a connection's rings would hold them for a client timeout.
        await until(lambda: sockets() <= self.before, "descriptors")
        if self.gate:
            del asyncio.get_running_loop().create_connection

    def drop_idle(self):
        for line in list(self.pool.lines):
            line.close()
        return False


__all__ = ["Agent", "Client", "Executor", "Gate", "Place", "ROW", "TERMS", "free_port", "sockets", "until"]
