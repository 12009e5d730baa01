"""Memory and idle CPU of a real node process, and the CPU time of a reload of its file."""

import asyncio
import json
import os
import sys
import tempfile
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from time import thread_time

from benchmarks.capacity import process_cpu_seconds
from benchmarks.measured_dispatcher import endpoint_list_json, node_settings
from benchmarks.measurements import row
from grebedyke.emulators import http_messages
from grebedyke.emulators.discovery import DiscoveryEmulator
from grebedyke.emulators.ports import free_port
from grebedyke.service.configuration import open_dispatcher, read_node

START_TIMEOUT = 30.0
SETTLING_TIME = 1.0
"""Seconds from the readiness of a node to the measurement of its idle CPU."""
RELOADS = 3
LIMIT_COUNT = 34
NODE_NUMBER = 5
BYTES_PER_KILOBYTE = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeFile:
    """The content of a node's configuration file.

    Attributes:
        folder: Folder of the file and of the node's record.
        node_count: Number of nodes in the fleet; nothing listens at the addresses of the others.
        in_fleet: Whether the components of a fleet are enabled.
        known_endpoints: The endpoint list at the start.
        discovery: Address of discovery.
        listen: Address for clients.
    """

    folder: str
    node_count: int
    in_fleet: bool
    known_endpoints: dict
    discovery: str
    listen: str

    def write(self):
        """Writes the file into its folder and returns its path."""
        path = Path(self.folder, "node.json")
        path.write_text(json.dumps(self.configuration()))
        return path

    def configuration(self):
        """Returns the configuration."""
        configuration = {
            "name": f"n{NODE_NUMBER}",
            "listen": self.listen,
            "discovery": self.discovery,
            "seed": f"n{NODE_NUMBER}",
            "known": self.known_endpoints,
            "settings": node_settings(self.node_count),
        }
        return configuration | self._fleet_sections() if self.in_fleet else configuration

    def _fleet_sections(self):
        peers = [f"127.9.{number // 250}.{number % 250 + 1}:9020" for number in range(self.node_count)]
        peers[NODE_NUMBER] = "127.0.0.1:%d" % free_port()
        limits = [
            {"name": f"limit {number}", "tenant": f"t{number}", "underWay": 4 * self.node_count, "floor": 1}
            for number in range(LIMIT_COUNT)
        ]
        return {
            "peers": peers,
            "fleet": {"name": "f", "folder": str(Path(self.folder, "folder")), "voters": [0, 1, 2, 3, 4]},
            "maintenance": {},
            "shares": {"limits": limits},
        }


@asynccontextmanager
async def running_node(path, address):
    """Runs a node with a configuration file; yields its process when the node is ready."""
    environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "grebedyke",
        env=environ | {"BALANCER_CONFIG": str(path)},
        stdin=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        async with asyncio.timeout(START_TIMEOUT):
            while (await http_messages.call(address, "GET", "/up", timeout=0.5)).status != 200:
                await asyncio.sleep(0.1)
        yield process
    finally:
        process.terminate()
        await process.wait()


def resident_bytes(pid):
    """Returns the resident memory of a process in bytes."""
    fields = Path(f"/proc/{pid}/status").read_text().split()
    return int(fields[fields.index("VmRSS:") + 1]) * BYTES_PER_KILOBYTE


async def measure_idle(executors, nodes, fleet, span):
    """Returns (resident bytes, CPU in cores) of a node that has its endpoint list and no clients."""
    discovery = await DiscoveryEmulator().listen()
    try:
        known_endpoints = json.loads(endpoint_list_json(executors, discovery))
        with tempfile.TemporaryDirectory(prefix="grebedyke-") as folder:
            address = ("127.0.0.1", free_port())
            file = NodeFile(
                folder=folder,
                node_count=nodes,
                in_fleet=fleet,
                known_endpoints=known_endpoints,
                discovery="%s:%d" % discovery.address,
                listen="%s:%d" % address,
            )
            async with running_node(file.write(), address) as process:
                await asyncio.sleep(SETTLING_TIME)
                cpu_before = process_cpu_seconds(process.pid)
                await asyncio.sleep(span)
                used = (process_cpu_seconds(process.pid) - cpu_before) / span
                return resident_bytes(process.pid), used
    finally:
        await discovery.close()


def process(parameter, size, executors=760, nodes=760, fleet=True, span=10.0):
    """Measures the resident memory and idle CPU of a node process."""
    resident, used = asyncio.run(measure_idle(executors, nodes, fleet, span))
    name = "a node process of a fleet" if fleet else "a node process"
    return [row(name, parameter, size, resident=resident, CPU=used)]


def reloaded(parameter, size, nodes=760):
    """Measures the CPU time to read and check a file and to open a dispatcher from it, as after SIGHUP."""
    with tempfile.TemporaryDirectory(prefix="grebedyke-") as folder:
        file = NodeFile(
            folder=folder,
            node_count=nodes,
            in_fleet=True,
            known_endpoints={},
            discovery="127.0.0.1:9",
            listen="127.0.0.1:8",
        )
        path = file.write()
        times = []
        for _ in range(RELOADS):
            start = thread_time()
            configuration = read_node({"BALANCER_CONFIG": str(path)})
            open_dispatcher(configuration["seed"], configuration["settings"])
            times.append(thread_time() - start)
        quantities = {"CPU a change": min(times), "bytes of a file": path.stat().st_size}
        return [row("a reload of the file", parameter, size, **quantities)]
