"""A small fleet on this machine: discovery and executors emulated here, nodes as processes of their own."""

import asyncio
import json
import os
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from grebedyke.emulators import http_messages
from grebedyke.emulators.discovery import DiscoveryEmulator
from grebedyke.emulators.executor import ExecutorEmulator
from grebedyke.emulators.executor_model import ExecutorModel, ExecutorSettings
from grebedyke.emulators.faults import FaultScript
from grebedyke.emulators.ports import free_port
from grebedyke.load.deployment import SPEEDS, ZONES, deployment_settings

START_TIMEOUT = 10.0
"""Seconds that a node gets to be ready."""
START_POLL_PAUSE = 0.05
STOP_TIMEOUT = 6.0
"""Seconds that a node gets to end by itself."""

NODE_COMMAND = (sys.executable, "-m", "grebedyke")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """The size of a fleet.

    Attributes:
        nodes: How many nodes.
        executors: How many executors, over all zones and kinds in turn.
        slots: How many jobs run at an executor at the same time.
        cold_capacity: Share of its capacity that an executor has when it is started again.
        zones: Names of the zones.
    """

    nodes: int = 3
    executors: int = 6
    slots: int = 4
    cold_capacity: float = 0.3
    zones: tuple[str, ...] = ZONES


class LocalFleet:
    """Discovery, executors and nodes of one run.

    Attributes:
        operations: Each `Operation` of the deployment.
        shape: The `FleetShape`.
        command: Starts a node.
        faults: Each `Fault` of an executor, by its name.
        seed: Of the nodes and of the executors' faults.
        host: Where the nodes listen.
        folder: A temporary folder with the nodes' files and logs.
        nodes: Addresses by the node's name.
        processes: The nodes' processes by name.
        discovery: The `DiscoveryEmulator`.
        executors: Each `ExecutorEmulator` by its name.
    """

    def __init__(self, operations, shape=None, command=NODE_COMMAND, faults=None, seed=0):
        self.operations = operations
        self.shape = shape or FleetShape()
        self.command = command
        self.faults = faults or {}
        self.seed = seed
        self.host = "127.0.0.1"
        self.folder = tempfile.TemporaryDirectory(prefix="grebedyke-")
        self.nodes = dict.fromkeys(f"n{number}" for number in range(self.shape.nodes))
        self.processes = {}
        self.discovery = None
        self.executors = {}

    async def start(self):
        """Starts all of it; returns the fleet once the nodes are ready.

        Raises:
            OSError: A node did not start.
        """
        self.discovery = await DiscoveryEmulator().listen()
        effect_times_by_zone = {zone: {} for zone in self.shape.zones}
        for number in range(self.shape.executors):
            await self._start_executor(number, effect_times_by_zone)
        await asyncio.gather(*(self.start_node(name) for name in self.nodes))
        return self

    async def _start_executor(self, number, effect_times_by_zone):
        name = f"s-{number}"
        zones = self.shape.zones
        zone = zones[number % len(zones)]
        kind = [*SPEEDS][number // len(zones) % len(SPEEDS)]
        settings = ExecutorSettings(
            slots=self.shape.slots,
            speed=SPEEDS[kind],
            cold_capacity=self.shape.cold_capacity,
            warm_up_time=2.0,
        )
        # Warm already, as in a fleet that has run for a while; a restart is cold.
        model = ExecutorModel(settings, started_at=-10.0)
        # The executors of a zone drop each other's repeats.
        model.effect_times = effect_times_by_zone[zone]
        script = FaultScript(self.faults.get(name, ()), self.seed + number)
        executor = ExecutorEmulator(name, self.nodes, model, script)
        self.executors[name] = await executor.listen()
        self.discovery.add(name, executor.address, zone, kind)

    async def start_node(self, name):
        """Starts a node at a free port and waits until it is ready."""
        self.nodes[name] = (self.host, free_port(self.host))
        return await self.launch(name)

    async def launch(self, name):
        """Starts a node at the address that it has and waits until it is ready.

        Raises:
            OSError: It is not ready in time, or has ended.
        """
        loop = asyncio.get_running_loop()
        process = await self.spawn(name)
        deadline = loop.time() + START_TIMEOUT
        while not await self.is_ready(name):
            if process.returncode is not None or loop.time() > deadline:
                host, port = self.nodes[name]
                raise OSError(f"node {name} at {host}:{port} did not start: {self._last_log_line(name)}")
            await asyncio.sleep(START_POLL_PAUSE)

    async def is_ready(self, name):
        """Returns whether a node says that it is ready."""
        response = await http_messages.call(self.nodes[name], "GET", "/up", timeout=0.5)
        return response.status == 200

    def _last_log_line(self, name):
        text = Path(self.folder.name, f"{name}.log").read_text(errors="replace").strip()
        return text.splitlines()[-1] if text else "it said nothing"

    async def spawn(self, name):
        """Starts a node's process at the address that it has, and waits for nothing."""
        path = Path(self.folder.name, f"{name}.json")
        path.write_text(json.dumps(self.node_configuration(name)))
        environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environ |= {"BALANCER_CONFIG": str(path), "BALANCER_COUNTS": "1", "TMPDIR": self.folder.name}
        with open(Path(self.folder.name, f"{name}.log"), "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *self.command, env=environ, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )
        self.processes[name] = process
        return process

    def node_configuration(self, name):
        """Returns what is in a node's configuration file."""
        number = [*self.nodes].index(name)
        zones = self.shape.zones
        zone = zones[number % len(zones)]
        return {
            "name": name,
            "listen": "%s:%d" % self.nodes[name],
            "discovery": "%s:%d" % self.discovery.address,
            "seed": f"{self.seed}-{name}",
            "known": self.discovery.listing(),
            "settings": deployment_settings(self.operations, len(self.nodes), number, zone, zones),
        }

    async def drain_executor(self, name):
        """Lists an executor as draining, as a deployment does: it finishes the jobs that it has."""
        await self.discovery.change(name, status="Terminating")

    async def kill_executor(self, name):
        """Ends an executor and takes it off the list."""
        await self.executors[name].close()
        await self.discovery.change(name, status="Gone")

    def report_to(self, ledger):
        """Adds to a ledger what executors and discovery have seen."""
        for name, executor in self.executors.items():
            ledger.add_effects(name, executor.model.effects)
            ledger.add_arrivals(name, executor.arrivals)
        for notice in self.discovery.notices:
            ledger.add_removal(notice.name, notice.time)

    async def close(self):
        """Ends the nodes as operators do, then by force those that do not end, and all the rest."""
        for process in self.processes.values():
            if process.returncode is None:
                process.terminate()
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT)
            except TimeoutError:
                process.kill()
                await process.wait()
        for executor in self.executors.values():
            await executor.close()
        if self.discovery:
            await self.discovery.close()
        self.folder.cleanup()
