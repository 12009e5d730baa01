"""Runs a fleet as large as one machine allows: hundreds of hollow nodes, some real nodes, and a checker.

A run uses loopback addresses only, and its time, processes and memory are bounded. It is described in
docs/scale.md.
"""

import asyncio
import json
import os
import shutil
import signal
import tempfile
import time
from pathlib import Path

from grebedyke.emulators.discovery import DiscoveryEmulator
from grebedyke.emulators.executor import ExecutorEmulator
from grebedyke.emulators.executor_model import ExecutorModel, ExecutorSettings
from grebedyke.emulators.faults import FaultScript
from grebedyke.testbed.child_process import ChildProcess
from grebedyke.testbed.demand_generator import tenant_limits
from grebedyke.testbed.fleet_layout import OPERATION, FleetLayout
from grebedyke.testbed.instrumentation import HOLDER
from grebedyke.testbed.invariant_checker import InvariantChecker
from grebedyke.testbed.process_settings import ProcessSettings
from grebedyke.testbed.scale_capacity import check_capacity
from grebedyke.testbed.scale_measurement import Measurement
from grebedyke.testbed.scale_operators import ScaleOperators
from grebedyke.testbed.scale_report import result_document
from grebedyke.testbed.scale_scenes import SCENE_FUNCTIONS
from grebedyke.testbed.scale_settings import ZONES, ScaleSettings
from grebedyke.units import TICKS_PER_SECOND

HOLLOW_MODULE = "grebedyke.testbed.hollow_node"
REAL_MODULE = "grebedyke.testbed.instrumented_node"
SHARED_MEMORY = "/dev/shm"
# Seconds within which all processes are up, and within which all nodes agree for the first time.
START_TIMEOUT = 120.0
FIRST_AGREEMENT_TIMEOUT = 120.0
# Seconds within which the hollow nodes of a process start, and a hollow node with its own process.
START_SPREAD = 2.0
SINGLE_START_SPREAD = 0.2
# The first voter starts this many leases after the others.
FIRST_VOTER_DELAY_LEASES = 0.75
MAX_HOLDER_CHANGES = 4
AGREEMENT_POLL_INTERVAL = 0.1


class ScaleRun:
    """One scale run.

    Attributes:
        settings: The `ScaleSettings`.
        layout: The `FleetLayout`.
        show_progress: Called with lines of progress.
        children: All `ChildProcess`es.
        child_by_node: The `ChildProcess` of each node.
        checker: The `InvariantChecker`.
        measurement: The `Measurement`.
        operators: The `ScaleOperators`.
        agreement_times: Seconds until all nodes agreed, by occasion; None after a timeout.
        down_nodes: Numbers of the nodes that were killed and not restarted.
    """

    def __init__(self, settings, show_progress=lambda text: None):
        self.settings = settings
        self.layout = FleetLayout(settings)
        self.show_progress = show_progress
        self.children = []
        self.child_by_node = {}
        limits = tenant_limits(self.layout.limits_section())
        self.checker = InvariantChecker(self.layout, limits, self.command_all, show_progress)
        self.measurement = Measurement(self)
        self.operators = ScaleOperators(self)
        self.agreement_times = {}
        self.down_nodes = set()
        self._folder = None
        self._discovery = None
        self._executors = []

    async def run(self):
        """Runs the fleet and its scene, and returns the result document.

        Raises:
            CapacityError: The run does not fit this machine; nothing was started.
            OSError: A process could not be started, ended unexpectedly or did not answer.
        """
        check_capacity(self.layout)
        start = time.monotonic()
        try:
            await self._start_processes()
            await self._start_nodes()
            await SCENE_FUNCTIONS[self.settings.scene](self)
            await self._finish()
        finally:
            await self._close()
        return result_document(self, time.monotonic() - start)

    # Processes.

    async def _start_processes(self):
        # In a deployment each node has its own disk. One disk would delay all nodes, so memory is used.
        parent_folder = SHARED_MEMORY if os.access(SHARED_MEMORY, os.W_OK) else None
        self._folder = tempfile.mkdtemp(prefix="grebedyke-scale-", dir=parent_folder)
        await self._start_executors()
        for group in self.layout.hollow_groups():
            self._add_child(group, is_real=False)
        for node in sorted(self.layout.real_nodes):
            self._add_child([node], is_real=True)
        # The first voter starts last, see `_start_nodes`. A hollow one only needs its process by then.
        last = self.child_by_node[0]
        first = [child for child in self.children if not (child is last and child.is_real)]
        self.show_progress(
            f"{len(self.children)} processes, {len(self.layout.real_nodes)} of them real nodes"
        )
        await self._start_children(first)

    async def _start_executors(self):
        self._discovery = await DiscoveryEmulator().listen()
        for index in range(self.settings.executors):
            name = f"s-{index}"
            model = ExecutorModel(ExecutorSettings(slots=4, speed=1.0))
            executor = await ExecutorEmulator(name, {}, model, FaultScript([], index)).listen()
            self._executors.append(executor)
            zone = ZONES[index % len(ZONES)]
            self._discovery.add(name, executor.address, zone, "full")

    def _add_child(self, nodes, is_real):
        folder = Path(self._folder, f"p{len(self.children)}")
        folder.mkdir()
        path = folder / "node.json"
        path.write_text(json.dumps(self.layout.node_configuration(nodes[0], folder, self._discovery)))
        settings = ProcessSettings(
            configuration_file=str(path),
            folder=str(folder),
            seed=self.settings.seed,
            endpoint_rows=self._endpoint_rows(),
            broken_build=self.settings.build,
            nodes=[[node, self.layout.wanted_tenants(node)] for node in nodes],
            operation=OPERATION.name,
            demand_interval=int(self.settings.demand_interval * TICKS_PER_SECOND),
            longest_run=int(self.settings.longest_run * TICKS_PER_SECOND),
            loss_probability=self.settings.loss,
            mean_delay=self.settings.delay,
        )
        own_variables = ("BALANCER_", "GREBEDYKE_")
        environment = {key: value for key, value in os.environ.items() if not key.startswith(own_variables)}
        environment |= settings.to_environment()
        environment |= {"TMPDIR": str(folder), "PYTHONHASHSEED": "0"}
        if is_real:
            environment["BALANCER_CONFIG"] = str(path)
        module = REAL_MODULE if is_real else HOLLOW_MODULE
        child = ChildProcess(nodes, module, environment, folder / "log", is_real)
        self.children.append(child)
        for node in nodes:
            self.child_by_node[node] = child

    def _endpoint_rows(self):
        return [
            (row["name"], None, row["zone"], row["type"], 0, "healthy", 0, row["weight"])
            for row in self._discovery.listing()["endpoints"]
        ]

    async def _start_children(self, children):
        await asyncio.gather(*(child.start() for child in children))
        await asyncio.wait_for(asyncio.gather(*(child.ready_future for child in children)), START_TIMEOUT)

    def running_children(self):
        """Returns the processes that are running."""
        return [child for child in self.children if child.is_running()]

    async def command_all(self, name, **parameters):
        """Has all running processes carry out a command and returns their answers."""
        commands = [child.command(name, **parameters) for child in self.running_children()]
        return await asyncio.gather(*commands)

    async def kill(self, nodes):
        """Kills nodes; a real node is killed together with its process."""
        self.down_nodes |= {*nodes}
        real = [child for child in self.children if child.is_real and child.nodes[0] in self.down_nodes]
        await self.checker.record_counters(real)
        for child in self.children:
            down = [node for node in child.nodes if node in self.down_nodes]
            if child.is_real and down:
                await child.kill()
            elif down:
                await child.command("end", nodes=down)

    async def restart(self, nodes):
        """Restarts nodes that were killed."""
        for child in self.children:
            own = [node for node in child.nodes if node in nodes]
            if own and not child.is_real:
                await child.command("start", nodes=own, within=START_SPREAD / 2)
        real = [child for child in self.children if child.is_real and child.nodes[0] in nodes]
        await self._start_children(real)
        await self.command_all("demand", on=True)
        self.down_nodes -= {*nodes}

    # Start and end of the run.

    async def _start_nodes(self):
        """Starts the nodes and their demand.

        The first voter starts last. The node that has waited longest becomes the lease holder, so this
        usually makes the driver of plans, which is the first voter, and the lease holder different nodes.
        """
        start = time.monotonic()
        for child in self.children:
            if not child.is_real:
                nodes = [node for node in child.nodes if node != 0]
                spread = START_SPREAD if len(child.nodes) > 1 else SINGLE_START_SPREAD
                await child.command("start", nodes=nodes, within=spread)
        await asyncio.sleep(self.settings.lease * FIRST_VOTER_DELAY_LEASES)
        last = self.child_by_node[0]
        if last.is_real:
            await self._start_children([last])
        else:
            await last.command("start", nodes=[0], within=0)
        await self.wait_for_agreement("at the start", FIRST_AGREEMENT_TIMEOUT, start)
        if self.settings.lead:
            await self._establish_leaders()
        await self.command_all("demand", on=True)
        await self.command_all("freeze")
        # Waits until the initial demand is granted and state that is kept for one lease has been dropped.
        await self.poll_for_leases(3)

    async def _establish_leaders(self):
        """Makes the second voter the lease holder by killing each other holder.

        The first voter, which drives plans, would succeed a killed holder. It is killed as well, unless that
        would leave no quorum.

        Raises:
            OSError: The second voter is still not the holder after `MAX_HOLDER_CHANGES` changes.
        """
        for _ in range(MAX_HOLDER_CHANGES):
            holder = await self.lease_holder()
            if holder == self.layout.voters[1]:
                return
            killed = [holder, *([0] if len(self.layout.voters) > 3 and holder else [])]
            await self.kill(killed)
            end = time.monotonic() + FIRST_AGREEMENT_TIMEOUT
            while await self.lease_holder() in (None, holder) and time.monotonic() < end:
                await self.checker.poll_for(0.2)
            await self.restart(killed)
            await self._measure_agreement("with another holder", FIRST_AGREEMENT_TIMEOUT, time.monotonic())
        raise OSError(f"node {self.layout.voters[1]} has not become the lease holder")

    async def lease_holder(self):
        """Returns the node that holds the lease of the limits; None if no node does."""
        for answer in await self.command_all("mark"):
            for node, counters in answer["nodes"].items():
                if counters["role"] == HOLDER:
                    return int(node)
        return None

    async def poll_for_leases(self, count):
        """Polls all processes for the given number of leases plus the longest running time of a request."""
        await self.checker.poll_for(count * self.settings.lease + self.settings.longest_run)

    async def wait_for_agreement(self, when, timeout, since):
        """Waits until all nodes agree and records how long it took.

        Args:
            when: The occasion, a key of `agreement_times`.
            timeout: Seconds from `since` after which a violation is reported.
            since: Start of the measured time, as monotonic time.

        Returns:
            The seconds that it took; None after a timeout.
        """
        seconds = await self._measure_agreement(when, timeout, since)
        self.agreement_times[when] = seconds
        return seconds

    async def _measure_agreement(self, when, timeout, since):
        while not await self.checker.poll():
            if time.monotonic() > since + timeout:
                detail = f"{when}: not within {timeout:g} s: {self.checker.state}"
                self.checker.report("all nodes agree", detail)
                return None
            await asyncio.sleep(AGREEMENT_POLL_INTERVAL)
        seconds = time.monotonic() - since
        self.show_progress(f"all {self.settings.nodes} nodes agree {when}, after {seconds:.1f} s")
        return seconds

    async def _finish(self):
        await self.wait_for_agreement("at the end", self.settings.agreement_timeout, time.monotonic())
        await self.command_all("demand", on=False)
        await self.checker.finish(self.measurement.windows)

    async def _close(self):
        await asyncio.gather(*(child.close() for child in self.children), return_exceptions=True)
        for executor in self._executors:
            await executor.close()
        if self._discovery:
            await self._discovery.close()
        if self._folder:
            shutil.rmtree(self._folder, ignore_errors=True)


async def run(show_progress=lambda text: None, **settings):
    """Runs one scale run; its processes end even if it is cancelled.

    Args:
        show_progress: Called with lines of progress.
        **settings: Fields of a `ScaleSettings`.

    Returns:
        The result document.
    """
    scale_run = ScaleRun(ScaleSettings(**settings), show_progress)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        return await scale_run.run()
    finally:
        loop.remove_signal_handler(signal.SIGTERM)
