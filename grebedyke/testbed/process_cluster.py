"""A cluster of real processes with faults in their network, discovery, clocks, folders and disks."""

import asyncio
import json
import os
import shutil
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from grebedyke.emulators import http_messages
from grebedyke.emulators.ports import free_port
from grebedyke.load.deployment import deployment_settings
from grebedyke.load.fleet import START_TIMEOUT, FleetShape, LocalFleet
from grebedyke.testbed.launcher import SETTINGS_VARIABLE
from grebedyke.testbed.network_relay import NetworkRelay
from grebedyke.testbed.node_record import read_node_record
from grebedyke.testbed.process_cluster_settings import (
    CLOCK_DRIFT,
    DRAIN_GRACE,
    IDEMPOTENCY_WINDOW,
    LEASE,
    ROUND_TIMEOUT,
    WARM_UP_TIME,
    FolderState,
)
from grebedyke.testbed.tcp_proxy import TcpProxy

LAUNCHER_MODULE = "grebedyke.testbed.launcher"
# The launcher module of version 0.1, see `launcher_module`.
LAUNCHER_MODULE_OF_0_1 = "grebedyke.rig.launch"
# Possible errors of a node's wall clock in seconds; one of them is drawn at each start.
WALL_CLOCK_ERRORS = (0, 0, 3600, -86400)
# Probability that a start runs the older version, in trials with an older version.
OLDER_VERSION_PROBABILITY = 0.5
START_POLL_TIMEOUT = 0.5
START_POLL_INTERVAL = 0.05
TAKEOVER_TIMEOUT = 15
CALL_TIMEOUT = 6.0
STATUS_TIMEOUT = 1.0
MILLISECONDS_PER_SECOND = 1000


class ProcessCluster(LocalFleet):
    """A fleet whose nodes exchange datagrams through a relay.

    Attributes:
        settings: The `ProcessClusterSettings`.
        limits: Fleet-wide limits as rows of a configuration; a change applies to files written from then on.
        voters: Numbers of the nodes that vote.
        relay: The `NetworkRelay` between the nodes; None before `start`.
        proxies: The `TcpProxy` between each node and discovery, by the node's name.
        event_counts: Number of occurrences of each fault and operation.
        admin_addresses: The (host, port) of each node's admin API.
        peer_addresses: The (host, port) to which each node's datagram socket is bound.
        clock_rates: The rate of each node's monotonic clock.
        paused: Names of the nodes whose processes are stopped by a signal.
        start_counts: How often each node was started.
    """

    def __init__(self, settings):
        shape = FleetShape(nodes=settings.nodes, executors=settings.executors, zones=settings.zones)
        super().__init__(settings.operations, shape, seed=settings.seed)
        self.settings = settings
        self.limits = settings.limits
        self.voters = list(range(min(settings.voters, settings.nodes)))
        # A restarted node needs its ports again, so the host address differs from those of other trials.
        self.host = f"127.{64 + os.getpid() % 128}.{settings.seed % 250}.9"
        self.relay = None
        self.proxies = {}
        self.event_counts = Counter()
        self.admin_addresses = {}
        self.peer_addresses = {}
        self.clock_rates = {}
        self.paused = set()
        self.start_counts = Counter()
        # All processes of a node read the same clock, as on one machine.
        self._clock_epoch = time.monotonic_ns()
        self._ending_processes = []

    async def start(self):
        """Starts discovery, executors, relay and nodes; returns itself."""
        self.relay = await NetworkRelay(len(self.nodes), self.seed).open()
        for name in self.nodes:
            # The rates of any two clocks differ by at most `CLOCK_DRIFT`.
            self.clock_rates[name] = 1 + (self.relay.random.random() - 0.5) * CLOCK_DRIFT
            self.proxies[name] = await TcpProxy(lambda: self.discovery.address).listen()
        return await super().start()

    def number(self, name):
        """Returns the number of a node."""
        return [*self.nodes].index(name)

    def path(self, name, suffix):
        """Returns the path of a node's file or folder with this suffix."""
        return Path(self.folder.name, f"{name}.{suffix}")

    # Configuration of the nodes.

    def node_configuration(self, name):
        """Returns the content of a node's configuration file; ports that are not assigned yet are chosen."""
        number = self.number(name)
        for addresses in (self.admin_addresses, self.peer_addresses):
            if not addresses.get(name):
                addresses[name] = (self.host, free_port(self.host))
        peers = self.relay.peer_addresses(number, self.peer_addresses[name])
        node_configuration = {
            "name": name,
            "listen": "%s:%d" % self.nodes[name],
            "console": "%s:%d" % self.admin_addresses[name],
            "discovery": "%s:%d" % self.proxies[name].address,
            "seed": f"{self.seed}-{name}",
            "known": self.discovery.listing(),
            "settings": self._deployment(number),
            "peers": ["%s:%d" % tuple(address) for address in peers],
        }
        lease_terms = {"leaseMs": LEASE * MILLISECONDS_PER_SECOND, "drift": CLOCK_DRIFT}
        if self.settings.maintenance:
            node_configuration["fleet"] = {
                "name": f"rig {self.seed}",
                "folder": str(self.path(name, "folder")),
                "voters": self.voters,
                "waitMs": ROUND_TIMEOUT * MILLISECONDS_PER_SECOND,
            }
            node_configuration["maintenance"] = lease_terms
        if self.limits:
            node_configuration["shares"] = {**lease_terms, "limits": self.limits}
        return node_configuration

    def _deployment(self, number):
        """Returns the `settings` section of a node's configuration file."""
        zone = self.shape.zones[number % len(self.shape.zones)]
        deployment = deployment_settings(self.operations, len(self.nodes), number, zone, self.shape.zones)
        deployment["limits"]["peerMessages"] = self.settings.peer_messages
        deployment["rules"] |= {
            "drainGraceMs": DRAIN_GRACE * MILLISECONDS_PER_SECOND,
            "rampTimeMs": WARM_UP_TIME * MILLISECONDS_PER_SECOND,
        }
        for row in deployment["operations"]:
            row["windowMs"] = IDEMPOTENCY_WINDOW * MILLISECONDS_PER_SECOND
        return deployment

    def _environment(self, name):
        own_variables = ("BALANCER_", "GREBEDYKE_")
        environment = {key: value for key, value in os.environ.items() if not key.startswith(own_variables)}
        launcher_settings = {
            "rate": self.clock_rates[name],
            "began": self._clock_epoch,
            "disk": str(self.path(name, "disk")),
            "record": str(self.path(name, "record")),
            "stall_check_interval": self.settings.stall_check_interval,
            "wall": self.relay.random.choice(WALL_CLOCK_ERRORS),
        }
        return environment | {
            "BALANCER_CONFIG": str(self.path(name, "json")),
            "BALANCER_COUNTS": "1",
            "TMPDIR": str(self.path(name, "tmp")),
            SETTINGS_VARIABLE: json.dumps(launcher_settings),
        }

    # Processes.

    async def launch(self, name):
        """Starts a process of a node and waits until it serves.

        Raises:
            OSError: The process did not start in time; the message contains the last line of its log.
        """
        self.path(name, "json").write_text(json.dumps(self.node_configuration(name)))
        self.path(name, "tmp").mkdir(exist_ok=True)
        environment = self._environment(name)
        process = await self._start_process(name, environment)
        self.processes[name] = process
        self.start_counts[name] += 1
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_TIMEOUT
        while not await self._is_serving(name):
            if process.returncode is not None or loop.time() > deadline:
                raise OSError(f"node {name} did not start: {self.last_log_line(name)}")
            await asyncio.sleep(START_POLL_INTERVAL)

    async def _start_process(self, name, environment):
        older_tree = self.settings.older_tree
        is_older = bool(older_tree) and self.relay.random.random() < OLDER_VERSION_PROBABILITY
        tree = older_tree if is_older else None
        self.event_counts["older version"] += is_older
        with open(self.path(name, "log"), "ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                launcher_module(tree),
                env=environment,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                cwd=tree,
            )

    async def _is_serving(self, name):
        response = await http_messages.call(self.nodes[name], "GET", "/up", timeout=START_POLL_TIMEOUT)
        return response.status == 200

    def last_log_line(self, name):
        """Returns the last line of a node's log."""
        lines = self.path(name, "log").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"

    def is_up(self, name):
        """Returns whether a node's process is running and not paused."""
        process = self.processes.get(name)
        return process is not None and process.returncode is None and name not in self.paused

    async def end(self, name, signal_number=signal.SIGKILL):
        """Ends a node's process with a signal and waits for its exit."""
        process = self.processes[name]
        if process.returncode is None:
            self.resume(name)
            process.send_signal(signal_number)
            await process.wait()

    def pause(self, name):
        """Stops a node's process with a signal, until `resume`."""
        if self.is_up(name):
            self.processes[name].send_signal(signal.SIGSTOP)
            self.paused.add(name)
            self.event_counts["stopped"] += 1

    def resume(self, name):
        """Continues a paused process."""
        if name in self.paused:
            self.paused.discard(name)
            self.processes[name].send_signal(signal.SIGCONT)

    async def restart(self, name, folder=FolderState.SAME):
        """Kills a node's process and starts a new one with its folder in this `FolderState`."""
        await self.end(name)
        current = self.path(name, "folder")
        older = self.path(name, "older")
        if folder != FolderState.SAME:
            shutil.rmtree(current, ignore_errors=True)
        if folder == FolderState.OLDER and older.exists():
            shutil.copytree(older, current)
        if folder == FolderState.CORRUPT:
            current.mkdir()
            (current / "votes").write_bytes(b"grebedyke 1\n what is this")
        self.event_counts[f"folder {folder}"] += 1
        await self.launch(name)

    async def take_over(self, name):
        """Replaces a node's process in a hot restart, and waits for the exit of the old one."""
        former = self.processes[name]
        self.admin_addresses[name] = None
        self._ending_processes.append(former)
        await self.launch(name)
        former.terminate()
        await asyncio.wait_for(former.wait(), TAKEOVER_TIMEOUT)
        self._ending_processes.remove(former)
        self.event_counts["taken over"] += 1

    def reload(self, name, change=None):
        """Makes a node reload its configuration file.

        Args:
            name: The node.
            change: Changes the configuration before it is written to the file; None for no change.
        """
        node_configuration = self.node_configuration(name)
        if change:
            change(node_configuration)
        self._reload(name, json.dumps(node_configuration), "reloaded")

    def reload_invalid_file(self, name):
        """Makes a node reload a file that is not valid JSON."""
        self._reload(name, "{", "reload of a faulty file")

    def _reload(self, name, content, event):
        self.path(name, "json").write_text(content)
        self.processes[name].send_signal(signal.SIGHUP)
        self.event_counts[event] += 1

    # Folders and disks.

    def copy_folder(self, name):
        """Copies a node's folder for a later `restart`."""
        current = self.path(name, "folder")
        older = self.path(name, "older")
        shutil.rmtree(older, ignore_errors=True)
        if current.exists():
            # The node goes on writing, so temporary files may be incomplete and are left out.
            shutil.copytree(current, older, ignore=shutil.ignore_patterns("*.new"))
            self.event_counts["copied"] += 1

    def set_disk_faults(self, name, *faults):
        """Sets the `DiskFault`s of a node's disk; without arguments the disk works correctly."""
        self.path(name, "disk").write_text("\n".join(faults))
        self.event_counts["disk " + " ".join(faults or ("honest",))] += 1

    # Operators.

    async def call(self, name, method, path, body=None, timeout=CALL_TIMEOUT):
        """Calls a node's admin API; returns (status, text), or (0, "") without an answer in time."""
        data = json.dumps(body).encode() if body is not None else b""
        address = self.admin_addresses[name]
        status, answer = await http_messages.call(address, method, path, data, timeout)
        return status, answer.decode(errors="replace").strip()

    async def status(self, name):
        """Returns a node's maintenance status; None if it does not answer with one."""
        status, text = await self.call(name, "GET", "/v1/maintenance", timeout=STATUS_TIMEOUT)
        return json.loads(text) if status == 200 else None

    def node_records(self):
        """Returns the `NodeRecord` of each node."""
        return {name: read_node_record(self.path(name, "record")) for name in self.nodes}

    def events(self):
        """Yields (node, event) for the lines of all logs, one log after the other."""
        for name in self.nodes:
            path = self.path(name, "log")
            if path.exists():
                for line in path.read_text(errors="replace").splitlines():
                    try:
                        yield name, json.loads(line)
                    except json.JSONDecodeError:
                        pass  # the process was killed while it wrote this line

    async def close(self):
        """Ends all processes and closes the proxies and the relay."""
        for name in list(self.paused):
            self.resume(name)
        for process in self._ending_processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await super().close()
        for proxy in self.proxies.values():
            await proxy.close()
        if self.relay:
            self.relay.close()


def launcher_module(tree):
    """Returns the name of the module that starts a node of a source tree.

    Args:
        tree: Directory of the tree, which may contain an older version; None for this version.
    """
    if tree is None or Path(tree, *LAUNCHER_MODULE.split(".")).with_suffix(".py").exists():
        return LAUNCHER_MODULE
    return LAUNCHER_MODULE_OF_0_1
