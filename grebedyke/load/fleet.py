"""A small fleet on this machine: nodes in separate processes, emulated discovery and executors."""

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
"""Seconds within which a node has to be ready."""
START_POLL_INTERVAL = 0.05
STOP_TIMEOUT = 6.0
"""Seconds after SIGTERM until a node that has not exited is killed."""

NODE_COMMAND = (sys.executable, "-m", "grebedyke")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """The size of a fleet.

    Attributes:
        nodes: Number of nodes.
        executors: Number of executors, assigned to zones and kinds in rotation.
        slots: Maximum number of running jobs of an executor.
        cold_capacity: Share of its full capacity that an executor has after a restart.
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
        operations: The `Operation` entries of the deployment.
        shape: The `FleetShape`.
        command: The command that starts a node.
        faults: The `Fault` entries of executors, by executor name.
        seed: Seed of the nodes and of the executors' faults.
        host: The address at which the nodes listen.
        folder: A temporary folder for the nodes' files and logs.
        nodes: (host, port) of each node, by node name; None before its first start.
        processes: The nodes' processes, by node name.
        discovery: The `DiscoveryEmulator`.
        executors: The `ExecutorEmulator` of each executor, by name.
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
        """Starts discovery, executors and nodes; returns the fleet once all nodes are ready.

        Raises:
            OSError: A node did not become ready.
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
        # The executor is already warm, as in a fleet that has run for some time; after a restart it is cold.
        model = ExecutorModel(settings, started_at=-10.0)
        # The executors of a zone are an idempotency group: they drop each other's repeats of a key.
        model.effect_times = effect_times_by_zone[zone]
        script = FaultScript(self.faults.get(name, ()), self.seed + number)
        executor = ExecutorEmulator(name, self.nodes, model, script)
        self.executors[name] = await executor.listen()
        self.discovery.add(name, executor.address, zone, kind)

    async def start_node(self, name):
        """Starts a node on a free port and waits until it is ready."""
        self.nodes[name] = (self.host, free_port(self.host))
        return await self.launch(name)

    async def launch(self, name):
        """Starts a node at its current address and waits until it is ready.

        Raises:
            OSError: The node is not ready in time, or its process has exited.
        """
        loop = asyncio.get_running_loop()
        process = await self.spawn(name)
        deadline = loop.time() + START_TIMEOUT
        while not await self.is_ready(name):
            if process.returncode is not None or loop.time() > deadline:
                host, port = self.nodes[name]
                raise OSError(f"node {name} at {host}:{port} did not start: {self._last_log_line(name)}")
            await asyncio.sleep(START_POLL_INTERVAL)

    async def is_ready(self, name):
        """Returns whether a node reports that it is ready."""
        response = await http_messages.call(self.nodes[name], "GET", "/up", timeout=0.5)
        return response.status == 200

    def _last_log_line(self, name):
        text = Path(self.folder.name, f"{name}.log").read_text(errors="replace").strip()
        return text.splitlines()[-1] if text else "its log is empty"

    async def spawn(self, name):
        """Starts a node's process at its current address without waiting until it is ready."""
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
        """Returns the contents of a node's configuration file."""
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
        """Lists an executor as draining, as a deployment would; it finishes its jobs."""
        await self.discovery.change(name, status="Terminating")

    async def kill_executor(self, name):
        """Kills an executor and removes it from the endpoint list."""
        await self.executors[name].close()
        await self.discovery.change(name, status="Gone")

    def report_to(self, ledger):
        """Adds the records of executors and discovery to a ledger."""
        for name, executor in self.executors.items():
            ledger.add_effects(name, executor.model.effects)
            ledger.add_arrivals(name, executor.arrivals)
        for notice in self.discovery.notices:
            ledger.add_removal(notice.name, notice.time)

    async def close(self):
        """Stops the nodes by SIGTERM, kills those that do not exit in time, and stops everything else."""
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
