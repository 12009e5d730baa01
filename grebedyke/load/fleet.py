"""A small fleet on this machine: discovery, executors and nodes, to be tried by load."""

import asyncio
import json
import os
import socket
import sys
import tempfile
from pathlib import Path

from grebedyke.emulators import http_messages
from grebedyke.emulators.discovery import DiscoveryEmulator
from grebedyke.emulators.executor import ExecutorEmulator
from grebedyke.emulators.executor_model import ExecutorModel, ExecutorSettings
from grebedyke.emulators.faults import FaultScript

KINDS = {"full": 1.0, "slow": 0.6}
ZONES = "a", "b"
STARTS = 10.0  # seconds that nodes get to be ready


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def settings(operations, nodes, me, zone, zones=ZONES):
    """A deployment as the platform would tell it: two operations or more, no messages between nodes."""
    rows = [
        {
            "name": op.name,
            "idempotency": op.effect,
            "latencyObjectiveMs": 250,
            "group": "zone",
            "windowMs": op.window * 1000,
            "clientTimeoutMs": op.timeout * 1000,
            "billedValue": 1.0,
        }
        for op in operations
    ]
    return {
        "balancers": nodes,
        "me": me,
        "tickMs": 5,
        "zone": zone,
        "zones": [*zones],
        "machineTypes": [*KINDS],
        "operations": rows,
        "billedValueBy": "work",
        "limits": {
            "maxForwards": 4,
            "connIdleMs": 5000,
            "connectTimeoutMs": 250,
            "mayCancel": True,
            "probes": True,
            "retryAfter": True,
            "maxRetryAfterMs": 2000,
        },
        "rules": {
            "coldFrom": 0.3,
            "rampTimeMs": 2000,
            "fallMultiple": 3,
            "tipAfterMs": 1000,
            "drainGraceMs": 2000,
        },
        "familyInfo": {"tellsStart": True, "progressMs": 0, "classStretch": [2.5] * len(operations)},
        "telemetry": {"fields": ["x0", "rif"], "how": "inline"},
        "registryMode": "push",
        "parties": [{"name": "t", "quotaRps": 1000}],
    }


class Fleet:
    """Discovery, executors and nodes of one run; `node`: the command that starts one."""

    def __init__(
        self,
        operations,
        nodes=3,
        executors=6,
        command=(sys.executable, "-m", "grebedyke"),
        faults=None,
        seed=0,
        slots=4,
        cold=0.3,
        zones=ZONES,
    ):
        self.operations, self.command, self.faults, self.seed = operations, command, faults or {}, seed
        self.count, self.slots, self.cold, self.host = executors, slots, cold, "127.0.0.1"
        self.zones = zones
        self.folder = tempfile.TemporaryDirectory(prefix="grebedyke-")
        # Ports are drawn when a node starts: drawn before, those of executors' listeners could take them.
        self.nodes = dict.fromkeys((f"n{i}" for i in range(nodes)), None)
        self.discovery, self.executors, self.processes = None, {}, {}

    async def start(self):
        self.discovery = await DiscoveryEmulator().listen()
        known = {}
        for i in range(self.count):
            name, zone = f"s-{i}", self.zones[i % len(self.zones)]
            kind = [*KINDS][i // len(self.zones) % len(KINDS)]
            # Already warm, as a fleet is that has run for a while; a restart is cold.
            capacity = ExecutorSettings(
                slots=self.slots, speed=KINDS[kind], cold_capacity=self.cold, warm_up_time=2.0
            )
            model = ExecutorModel(capacity, started_at=-10.0)
            # The executors of a zone drop each other's repeats.
            model.effect_times = known.setdefault(zone, {})
            script = FaultScript(self.faults.get(name, ()), self.seed + i)
            executor = ExecutorEmulator(name, self.nodes, model, script)
            self.executors[name] = await executor.listen()
            self.discovery.add(name, executor.address, zone, kind)
        await asyncio.gather(*(self.open(name) for name in self.nodes))
        return self

    async def open(self, name):
        for tries in range(3):
            self.nodes[name] = self.host, free_port(self.host)
            try:
                return await self.launch(name)
            except OSError as problem:
                # Between the drawing of a port and its use another connection may have been given it.
                if tries == 2 or "in use" not in str(problem):
                    raise

    async def launch(self, name):
        process = await self.spawn(name)
        end = asyncio.get_running_loop().time() + STARTS
        while (await http_messages.call(self.nodes[name], "GET", "/up", timeout=0.5)).status != 200:
            if process.returncode is not None or asyncio.get_running_loop().time() > end:
                text = Path(self.folder.name, f"{name}.log").read_text(errors="replace").strip()
                last = text.splitlines()[-1] if text else "it said nothing"
                raise OSError("node %s at %s:%d did not start: %s" % (name, *self.nodes[name], last))
            await asyncio.sleep(0.05)

    async def spawn(self, name):
        """Starts a node's process at the address that it has, and waits for nothing."""
        me = [*self.nodes].index(name)
        path = Path(self.folder.name, f"{name}.json")
        path.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": "%s:%d" % self.nodes[name],
                    "discovery": "%s:%d" % self.discovery.address,
                    "seed": f"{self.seed}-{name}",
                    "known": self.discovery.listing(),
                    "settings": settings(
                        self.operations, len(self.nodes), me, self.zones[me % len(self.zones)], self.zones
                    ),
                }
            )
        )
        log = open(Path(self.folder.name, f"{name}.log"), "ab")
        environ = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        environ |= {"BALANCER_CONFIG": str(path), "BALANCER_COUNTS": "1", "TMPDIR": self.folder.name}
        with log:
            process = await asyncio.create_subprocess_exec(
                *self.command, env=environ, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )
        self.processes[name] = process
        return process

    async def drain(self, name):
        """As a deploy takes one away: told as draining, it finishes what it has."""
        await self.discovery.change(name, status="Terminating")

    async def kill(self, name):
        await self.executors[name].close()
        await self.discovery.change(name, status="Gone")

    def fill(self, ledger):
        """What executors and discovery have seen goes into the ledger."""
        for name, executor in self.executors.items():
            ledger.ran(name, executor.model.effects)
            ledger.reached(name, executor.arrivals)
        for at, name, _ in self.discovery.notices:
            ledger.drained(name, at)

    async def close(self):
        """Ends the nodes as operators do, then whoever does not end."""
        for process in self.processes.values():
            if process.returncode is None:
                process.terminate()
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), 6)
            except TimeoutError:
                process.kill()
                await process.wait()
        for executor in self.executors.values():
            await executor.close()
        if self.discovery:
            await self.discovery.close()
        self.folder.cleanup()
