"""A small fleet with consensus and maintenance, for the scenes of this review."""

import asyncio
import socket

import stand_ins

CLIENT_TIMEOUT_MS = 4000
DRAIN_GRACE_S = 2.0


class Fleet:
    """Nodes, the first three of them voters, with executors in one zone; settings as in deploy/fleet.toml.

    Attributes:
        nodes: The `Node`s by number.
        executors: The `Executor`s by name.
        discovery: The `Discovery`.
        client: The `Client`.
        size: The number of nodes in `peers` and `settings.balancers` of the files written from now on.
    """

    def __init__(self, record, folder, processes, node_count=3, lease_s=2.0):
        self.record = record
        self.discovery = stand_ins.Discovery(record)
        self.nodes = [stand_ins.Node(f"n{number}", record, folder) for number in range(node_count)]
        self.executors = {}
        self.client = stand_ins.Client(record)
        self.size = node_count
        self._folder = folder
        self._lease_s = lease_s
        self._processes = processes
        self._peers = [f"{stand_ins.HOST}:{stand_ins.free_port(socket.SOCK_DGRAM)}" for _ in self.nodes]

    async def start(self, names, work):
        """Starts executors with these names and all nodes; returns when each node uses the executors."""
        ports = {node.name: node.port for node in self.nodes}
        for node in self.nodes:
            await self.discovery.listen(node.name)
        for name in names:
            executor = stand_ins.Executor(name, self.record, ports, work)
            self.executors[name] = executor
            for node in self.nodes:
                await executor.listen(node.name)
            self.discovery.add(name, executor.port_of, "a")
        for number in range(self.size):
            await self.start_process(number)
        for node in self.nodes[: self.size]:
            await node.until_ready()
        await self.until_certain(range(self.size))

    async def start_process(self, number):
        """Starts a process of a node: its first one, or a new one beside the old one."""
        process = await self.nodes[number].start(self.configuration(number))
        self._processes.append(process)
        return process

    async def until_certain(self, numbers, timeout=30):
        """Waits until the views of these nodes are certain, as `GET /v1/maintenance` says."""

        async def all_are_certain():
            for number in numbers:
                status = await self.status(number)
                if not status or not status["sure"]:
                    return False
            return True

        await stand_ins.until(all_are_certain, timeout, "certain views")

    async def status(self, number, console=None):
        """Returns the answer to `GET /v1/maintenance` at a node, None without a 200."""
        node = self.nodes[number]
        code, text = await node.operator("GET", "/v1/maintenance", console=console, quiet=True)
        return stand_ins.json.loads(text) if code == 200 else None

    async def machine(self, number, name):
        """Returns the state and the number of a machine as a node knows it, (None, None) without a plan."""
        status = await self.status(number) or {"machines": ()}
        for row in status["machines"]:
            if row["name"] == name:
                return row["state"], row["number"]
        return None, None

    async def until_free(self, number, name, timeout=30):
        """Waits until a node reports a machine free; returns when it was reported leaving and when free."""
        leaving_at = None

        async def is_free():
            nonlocal leaving_at
            state, _ = await self.machine(number, name)
            if state in ("leaving", "free") and leaving_at is None:
                leaving_at = self.record.add(f"n{number} reports", name, "leaving")
            return state == "free"

        await stand_ins.until(is_free, timeout, f"{name} free", interval=0.005)
        return leaving_at, self.record.add(f"n{number} reports", name, "free")

    def configuration(self, number):
        """Returns the content of a node's file."""
        return {
            "discovery": f"{stand_ins.HOST}:{self.discovery.port_of[f'n{number}']}",
            "seed": f"n{number}",
            "peers": self._peers[: self.size],
            "known": self.discovery.listing(f"n{number}"),
            "fleet": {
                "name": "review",
                "folder": f"{self._folder}/records-{number}",
                "voters": [0, 1, 2],
                "waitMs": 200,
            },
            "maintenance": {"leaseMs": self._lease_s * 1000, "drift": 0.02},
            "settings": {
                "balancers": self.size,
                "me": number,
                "tickMs": 5,
                "zone": "a",
                "machineTypes": ["std"],
                "operations": [
                    {
                        "name": "confirm",
                        "idempotency": "unsafe",
                        "latencyObjectiveMs": 2000,
                        "clientTimeoutMs": CLIENT_TIMEOUT_MS,
                    }
                ],
                "limits": {
                    "maxForwards": 4,
                    "mayCancel": True,
                    "probes": False,
                    "connIdleMs": 5000,
                    "connectTimeoutMs": 250,
                },
                "rules": {
                    "drainGraceMs": DRAIN_GRACE_S * 1000,
                    "fallMultiple": 3,
                    "coldFrom": 0.3,
                    "rampTimeMs": 3000,
                    "tipAfterMs": 1000,
                },
                "familyInfo": {"tellsStart": True, "progressMs": 1000},
            },
        }


async def steady_load(client, node, seconds, interval):
    """Sends a request every `interval` seconds for a time; returns their identifiers."""
    ids = []
    for _ in range(int(seconds / interval)):
        ids.append(client.send(node, "confirm", CLIENT_TIMEOUT_MS))
        await asyncio.sleep(interval)
    return ids
