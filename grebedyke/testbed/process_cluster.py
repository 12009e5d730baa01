"""Real processes that are one fleet: relays between them, a proxy before discovery, folders and clocks."""

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
# The launcher's name in version 0.1, see `launcher_module`.
LAUNCHER_MODULE_OF_0_1 = "grebedyke.rig.launch"
# By how many seconds a node's wall clock may be off; one is drawn at each start.
WALL_CLOCK_ERRORS = (0, 0, 3600, -86400)
# Of the starts in a trial beside an older version, so many run that one.
OLDER_VERSION_PROBABILITY = 0.5
START_POLL_TIMEOUT = 0.5
START_POLL_INTERVAL = 0.05
TAKEOVER_TIMEOUT = 15
CALL_TIMEOUT = 6.0
STATUS_TIMEOUT = 1.0
MILLISECONDS_PER_SECOND = 1000


class ProcessCluster(LocalFleet):
    """A fleet whose nodes know each other by the sockets of a relay.

    Attributes:
        settings: The `ProcessClusterSettings`.
        limits: The limits of the whole fleet that a node finds in its file from now on, as rows.
        voters: Numbers of the nodes that vote.
        relay: The `NetworkRelay` between the nodes; None before `start`.
        proxies: The `TcpProxy` between each node and discovery, by the node's name.
        event_counts: How often each thing was done to the nodes.
        admin_addresses: The (host, port) of each node's operators.
        peer_addresses: The (host, port) of each node's own datagrams.
        clock_rates: Of each node's monotonic clock.
        paused: Names of the nodes whose processes are stopped by a signal.
        start_counts: How often each node was started.
    """

    def __init__(self, settings):
        shape = FleetShape(nodes=settings.nodes, executors=settings.executors, zones=settings.zones)
        super().__init__(settings.operations, shape, seed=settings.seed)
        self.settings = settings
        self.limits = settings.limits
        self.voters = list(range(min(settings.voters, settings.nodes)))
        # A node that starts anew needs its own address back: nothing of another trial is on this one.
        self.host = f"127.{64 + os.getpid() % 128}.{settings.seed % 250}.9"
        self.relay = None
        self.proxies = {}
        self.event_counts = Counter()
        self.admin_addresses = {}
        self.peer_addresses = {}
        self.clock_rates = {}
        self.paused = set()
        self.start_counts = Counter()
        # One clock for each machine: two processes of a node read the same one.
        self._clock_epoch = time.monotonic_ns()
        self._ending_processes = []

    async def start(self):
        """Starts discovery, executors, relay and nodes; returns itself."""
        self.relay = await NetworkRelay(len(self.nodes), self.seed).open()
        for name in self.nodes:
            # Over any two clocks the rates differ by the stated drift at most.
            self.clock_rates[name] = 1 + (self.relay.random.random() - 0.5) * CLOCK_DRIFT
            self.proxies[name] = await TcpProxy(lambda: self.discovery.address).listen()
        return await super().start()

    def number(self, name):
        """Returns the number of a node."""
        return [*self.nodes].index(name)

    def path(self, name, suffix):
        """Returns the path of a node's file or folder."""
        return Path(self.folder.name, f"{name}.{suffix}")

    # What a node is told.

    def node_configuration(self, name):
        """Returns what is in a node's file; its ports are drawn when it first starts."""
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
        terms = {"leaseMs": LEASE * MILLISECONDS_PER_SECOND, "drift": CLOCK_DRIFT}
        if self.settings.maintenance:
            node_configuration["fleet"] = {
                "name": f"rig {self.seed}",
                "folder": str(self.path(name, "folder")),
                "voters": self.voters,
                "waitMs": ROUND_TIMEOUT * MILLISECONDS_PER_SECOND,
            }
            node_configuration["maintenance"] = terms
        if self.limits:
            node_configuration["shares"] = {**terms, "limits": self.limits}
        return node_configuration

    def _deployment(self, number):
        """Returns the deployment's settings, as a node's file has them."""
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
            OSError: It does not; the message has the last line of its log.
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
        """Returns the newest line of a node's log."""
        lines = self.path(name, "log").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    def is_up(self, name):
        """Returns whether a node's process runs and is not paused."""
        process = self.processes.get(name)
        return process is not None and process.returncode is None and name not in self.paused

    async def end(self, name, signal_number=signal.SIGKILL):
        """Ends a node's process by a signal."""
        process = self.processes[name]
        if process.returncode is None:
            self.resume(name)
            process.send_signal(signal_number)
            await process.wait()

    def pause(self, name):
        """Stops a node's process by a signal, until `resume`."""
        if self.is_up(name):
            self.processes[name].send_signal(signal.SIGSTOP)
            self.paused.add(name)
            self.event_counts["stopped"] += 1

    def resume(self, name):
        """Lets a paused process go on."""
        if name in self.paused:
            self.paused.discard(name)
            self.processes[name].send_signal(signal.SIGCONT)

    async def restart(self, name, folder=FolderState.SAME):
        """Kills a node's process, and starts another with its folder as the `FolderState` says."""
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
        """Starts a process that takes over from the one that serves, which is told to end."""
        former = self.processes[name]
        self.admin_addresses[name] = None
        self._ending_processes.append(former)
        await self.launch(name)
        former.terminate()
        await asyncio.wait_for(former.wait(), TAKEOVER_TIMEOUT)
        self._ending_processes.remove(former)
        self.event_counts["taken over"] += 1

    def reload(self, name, change=None):
        """Has a node read its file again.

        Args:
            name: The node.
            change: Called with what the file is to say, to change it; None leaves it.
        """
        node_configuration = self.node_configuration(name)
        if change:
            change(node_configuration)
        self._reload(name, json.dumps(node_configuration), "reloaded")

    def reload_faulty_file(self, name):
        """Has a node read a file that is no JSON at all."""
        self._reload(name, "{", "reload of a faulty file")

    def _reload(self, name, content, event):
        self.path(name, "json").write_text(content)
        self.processes[name].send_signal(signal.SIGHUP)
        self.event_counts[event] += 1

    # Folders and disks.

    def copy_folder(self, name):
        """Keeps a copy of a node's folder, for a later `restart`."""
        current = self.path(name, "folder")
        older = self.path(name, "older")
        shutil.rmtree(older, ignore_errors=True)
        if current.exists():
            # Its node goes on writing: whole files only, not the one that is about to replace another.
            shutil.copytree(current, older, ignore=shutil.ignore_patterns("*.new"))
            self.event_counts["copied"] += 1

    def set_disk_faults(self, name, *faults):
        """Changes what is wrong with a node's disk: `DiskFault`s, or nothing."""
        self.path(name, "disk").write_text("\n".join(faults))
        self.event_counts["disk " + " ".join(faults or ("honest",))] += 1

    # Operators.

    async def call(self, name, method, path, body=None, timeout=CALL_TIMEOUT):
        """Makes an operator's call; returns (status, text), (0, "") where nobody answered in time."""
        data = json.dumps(body).encode() if body is not None else b""
        address = self.admin_addresses[name]
        status, answer = await http_messages.call(address, method, path, data, timeout)
        return status, answer.decode(errors="replace").strip()

    async def status(self, name):
        """Returns what a node says of maintenance, None where it does not answer."""
        status, text = await self.call(name, "GET", "/v1/maintenance", timeout=STATUS_TIMEOUT)
        return json.loads(text) if status == 200 else None

    def events(self):
        """Yields (node, event) of all logs, in the order of each log."""
        for name in self.nodes:
            path = self.path(name, "log")
            if path.exists():
                for line in path.read_text(errors="replace").splitlines():
                    try:
                        yield name, json.loads(line)
                    except json.JSONDecodeError:
                        pass  # the process was killed amid the line

    async def close(self):
        """Ends everything."""
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
    """Returns the module that starts a node of a source tree, which may be of an older version.

    Args:
        tree: The tree's directory, None for this version.
    """
    if tree is None or Path(tree, *LAUNCHER_MODULE.split(".")).with_suffix(".py").exists():
        return LAUNCHER_MODULE
    return LAUNCHER_MODULE_OF_0_1
