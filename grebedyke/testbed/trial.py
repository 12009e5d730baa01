"""One trial with real processes: a plan and client load under random faults, followed by checks."""

import asyncio
import random
import signal
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from grebedyke.load.arrivals import LoadShape, Operation, draw_arrivals
from grebedyke.load.clients import OpenLoopClients
from grebedyke.testbed.process_cluster import ProcessCluster
from grebedyke.testbed.process_cluster_settings import (
    DRAIN_GRACE,
    WARM_UP_TIME,
    ProcessClusterSettings,
)
from grebedyke.testbed.trial_checker import TrialChecker
from grebedyke.testbed.trial_faults import FAULTS
from grebedyke.testbed.violations import Violation

OPERATIONS = (
    Operation("hold", "keyed", share=0.4),
    Operation("confirm", "unsafe", share=0.3),
    Operation("view", "safe", share=0.3),
)
# Seconds from the end of the last fault until the plan must have ended, also on a slow machine.
SETTLING_TIMEOUT = 60.0
# Longest time in seconds between a node's admission of a request and its arrival at an executor; the request
# may have to wait for a free executor.
MAX_QUEUE_TIME = 0.5
# Requests per second, their mean running time in seconds, and for how many seconds after the last fault the
# load goes on.
REQUEST_RATE = 30.0
MEAN_WORK = 0.05
LOAD_AFTER_FAULTS = 4
# Mean time in seconds between two faults at a fault rate of 1.
MEAN_FAULT_INTERVAL = 1.5
# How many machines the plan allows to be out at the same time.
MAX_MACHINES_OUT = 2
POLL_INTERVAL = 0.1
SHORT_POLL_INTERVAL = 0.05
MAX_RECOVERY_POLLS = 400
SCRIPT_TRIES = 3
SCRIPT_TIMEOUT = 1.0


class TrialResult(NamedTuple):
    """The result of a trial.

    Attributes:
        seed: The trial's seed.
        violations: The `Violation`s that were found.
        event_counts: Number of occurrences of each fault and other event.
        seconds: Duration of the trial.
        logs: Logs of the nodes by name if there were violations, otherwise empty.
    """

    seed: int
    violations: list[Violation]
    event_counts: Counter
    seconds: float
    logs: dict[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialSettings:
    """The settings of a trial except its seed.

    Attributes:
        processes: Number of nodes.
        executors: Number of executors.
        seconds: How long faults are injected.
        kinds: Kinds of faults to inject, keys of `trial_faults.FAULTS`; None for all.
        fault_rate: Faults occur on average every 1.5 s divided by this value; from 1 on each kind occurs at
            least once.
        script: Whether operators take machines out with a script, as they did before plans existed; for
            comparison.
        older: Source tree of another version, which a random part of the node starts run; None for none.
    """

    processes: int = 5
    executors: int = 6
    seconds: float = 10.0
    kinds: Sequence[str] | None = None
    fault_rate: float = 1.0
    script: bool = False
    older: str | None = None


class Trial:
    """One trial.

    Attributes:
        seed: The trial's seed.
        settings: The `TrialSettings`.
        random: Random number generator of the faults and operators.
        cluster: The `ProcessCluster`.
        checker: The `TrialChecker`.
        busy_nodes: Names of the nodes reserved by a fault or an operator.
        nodes_without_state: Names of the nodes that have lost their stored state and have not rejoined.
    """

    def __init__(self, seed, **settings):
        """Creates a trial.

        Args:
            seed: The trial's seed.
            **settings: Fields of a `TrialSettings`.
        """
        self.seed = seed
        self.settings = TrialSettings(**settings)
        self.random = random.Random(f"round {seed}")
        self.checker = TrialChecker()
        self.cluster = ProcessCluster(self._cluster_settings())
        self.busy_nodes = set()
        self.nodes_without_state = set()
        self._fault_kinds = list(self.settings.kinds or FAULTS)
        self._handled_work = set()
        self._tasks = []

    def _cluster_settings(self):
        processes = self.settings.processes
        return ProcessClusterSettings(
            operations=OPERATIONS,
            nodes=processes,
            executors=self.settings.executors,
            voters=3 if processes < 7 else 5,
            seed=self.seed,
            peer_messages=self.seed % 3 == 0,
            older_tree=self.settings.older,
            limits=trial_limits(processes) if self.seed % 4 == 1 else None,
        )

    async def run(self):
        """Runs the trial and returns its `TrialResult`."""
        start = time.monotonic()
        logs = {}
        try:
            await self._run()
        except Exception as problem:  # an error of the test bed must not end the run or count as a pass
            self.checker.report("the rig", repr(problem))
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            if self.checker.violations:
                logs = self._read_logs()
            await self.cluster.close()
        seconds = time.monotonic() - start
        return TrialResult(self.seed, self.checker.violations, self._event_counts(), seconds, logs)

    async def _run(self):
        cluster = self.cluster
        await cluster.start()
        await self._wait_until(all_views_are_certain, "sure at the start")
        clients = OpenLoopClients(cluster.nodes, seed=self.seed)
        load_seconds = self.settings.seconds + LOAD_AFTER_FAULTS
        shape = LoadShape(operations=OPERATIONS, rate=REQUEST_RATE, seconds=load_seconds, mean_work=MEAN_WORK)
        load = asyncio.ensure_future(clients.play(draw_arrivals(self.seed, shape)))
        faults = asyncio.ensure_future(self._inject_faults())
        self._tasks += [asyncio.ensure_future(self._handle_free_machines()), faults]
        if self.settings.script:
            await self._take_out_by_script()
        else:
            await self._take_out_by_plan()
        await faults
        await self._end_faults()
        await load
        await self._wait_until(no_plan_is_open, "plans end")
        cluster.report_to(clients.ledger)
        self._check(clients.ledger)

    def _check(self, ledger):
        limits = self.cluster.limits or ()
        self.checker.check_rules(ledger, self.cluster.node_records(), is_limited=bool(limits))
        self.checker.check_limits(ledger, limits, MAX_QUEUE_TIME)
        voters = {f"node:{voter}" for voter in self.cluster.voters}
        self.checker.check_logs(self.cluster.events(), MAX_MACHINES_OUT, voters)

    def _read_logs(self):
        paths = {name: self.cluster.path(name, "log") for name in self.cluster.nodes}
        return {name: path.read_text(errors="replace") for name, path in paths.items() if path.exists()}

    def _event_counts(self):
        relay = self.cluster.relay
        counts = self.cluster.event_counts + (relay.event_counts if relay else Counter())
        counts += self.checker.event_counts
        for proxy in self.cluster.proxies.values():
            counts += proxy.event_counts
        return counts

    # Operators.

    async def _take_out_by_plan(self):
        machines = [*self.cluster.executors]
        if self.seed % 2 == 0:
            # The plan also contains nodes: a voter, and with enough nodes a node that does not vote.
            machines += ["node:0", f"node:{len(self.cluster.nodes) - 1}"]
        plan = {
            "machines": machines,
            "most": MAX_MACHINES_OUT,
            "mostZone": 1,
            "leastShare": 0.3,
            "workMs": 30_000,
            "late": "go on",
        }
        self.checker.plan_answered(await self._call_any_node("/v1/maintenance/plan", plan))
        # A second operator submits another plan while the first one may still be open.
        other_plan = {"machines": machines[:2], "most": 1, "workMs": 30_000, "id": "other"}
        answer = await self._call_any_node("/v1/maintenance/plan", other_plan, (200, 409))
        self.checker.second_plan_answered(answer)

    async def _take_out_by_script(self):
        """Takes out all executors, one of each zone at a time."""
        names = [*self.cluster.executors]
        await asyncio.gather(self._take_out(names[::2]), self._take_out(names[1::2]))

    async def _take_out(self, names):
        for name in names:
            await self._call_all_nodes(name, "suspend")
            await asyncio.sleep(DRAIN_GRACE)
            await self._work_at_executor("a script", name, 0)
            await self._call_all_nodes(name, "resume")
            await asyncio.sleep(WARM_UP_TIME)

    async def _call_all_nodes(self, name, command):
        """Sends a command to each node, up to `SCRIPT_TRIES` times if a node does not accept it."""
        for node in self.cluster.nodes:
            for _ in range(SCRIPT_TRIES):
                path = f"/v1/executors/{name}/{command}"
                status, _ = await self.cluster.call(node, "POST", path, timeout=SCRIPT_TIMEOUT)
                if status == 200:
                    break

    async def _wait_until(self, condition, clause):
        """Waits until the status of all nodes fulfils a condition.

        Args:
            condition: Called with the status of each node, None for a node without an answer.
            clause: The clause that is violated if the condition is not fulfilled in time.
        """
        end = time.monotonic() + SETTLING_TIMEOUT
        while True:
            states = await asyncio.gather(*(self.cluster.status(name) for name in self.cluster.nodes))
            if condition(states):
                return
            if time.monotonic() > end:
                seen = [state and (state["rev"], state["state"], state["sure"]) for state in states]
                self.checker.report(clause, f"not within {SETTLING_TIMEOUT:g} s: {seen}")
                return
            await asyncio.sleep(POLL_INTERVAL)

    def random_idle_node(self):
        """Returns a random node that is up and not busy; None if there is none."""
        nodes = [
            name for name in self.cluster.nodes if self.cluster.is_up(name) and name not in self.busy_nodes
        ]
        return self.random.choice(nodes) if nodes else None

    async def _call_any_node(self, path, body=None, expected=(200,)):
        """Sends an operator's call to random nodes until one gives a definite answer.

        Repeating is safe, as the calls are idempotent.

        Returns:
            Status and text; (0, "") if no node gave such an answer in time.
        """
        end = time.monotonic() + SETTLING_TIMEOUT
        while time.monotonic() < end:
            name = self.random_idle_node()
            if name:
                status, text = await self.cluster.call(name, "POST", path, body)
                # 400: a node that has just started does not have the list of machines yet.
                if status in expected or status not in (0, 400, 503):
                    return status, text
            await asyncio.sleep(POLL_INTERVAL)
        self.checker.report("calls are answered", f"{path}: not within {SETTLING_TIMEOUT:g} s")
        return 0, ""

    async def _handle_free_machines(self):
        """Works at each machine that a node reports as free, restarts it and gives it back."""
        while True:
            node = self.random_idle_node()
            if node:
                state = await self.cluster.status(node)
                for row in state["machines"] if state else ():
                    work = (row["name"], row["number"])
                    if row["state"] == "free" and work not in self._handled_work:
                        self._handled_work.add(work)
                        self._tasks.append(asyncio.ensure_future(self._work_at(node, *work)))
            await asyncio.sleep(SHORT_POLL_INTERVAL)

    async def _work_at(self, reporting_node, name, number):
        if name.startswith("node:"):
            await self._restart_node(int(name.removeprefix("node:")))
        else:
            await self._work_at_executor(reporting_node, name, number)
            await self._call_any_node(f"/v1/maintenance/back/{name}/{number}", None, (200, 409))

    async def _restart_node(self, number):
        """Works at a node: shuts it down gracefully, so that it answers all open requests, and starts it."""
        name = [*self.cluster.nodes][number]
        while name in self.busy_nodes:
            await asyncio.sleep(SHORT_POLL_INTERVAL)
        self.busy_nodes.add(name)
        self.checker.event_counts["nodes worked at"] += 1
        loop = asyncio.get_running_loop()
        start = loop.time()
        await self.cluster.end(name, signal.SIGTERM)
        self.checker.graceful_shutdowns[name].append((start, loop.time()))
        await asyncio.sleep(0.2 + self.random.random())
        await self.cluster.launch(name)
        self.busy_nodes.discard(name)

    async def _work_at_executor(self, reporting_node, name, number):
        """Works at an executor that `reporting_node` has reported free with this number, and restarts it."""
        executor = self.cluster.executors[name]
        start = asyncio.get_running_loop().time()
        self.checker.event_counts["worked at"] += 1
        await asyncio.sleep(0.3 + self.random.random())
        for request_id, arrived_at in executor.arrivals:
            if arrived_at > start:
                self.checker.event_counts["reached in work"] += 1
                if not self.settings.script:
                    delay = arrived_at - start
                    detail = (
                        f"{request_id} reached {name} {delay:.3f} s after {reporting_node} reported it free"
                    )
                    self.checker.report("free is free", f"{detail} with number {number}")
        await executor.restart()
        await self.cluster.discovery.change(name, status="Ready", since_ms=int(time.time() * 1000))

    # Faults.

    async def _inject_faults(self):
        end = time.monotonic() + self.settings.seconds
        pending = []
        # Each kind occurs once before any kind is repeated, so that no kind remains untested.
        first_kinds = self.random.sample(self._fault_kinds, len(self._fault_kinds))
        while time.monotonic() < end or first_kinds and self.settings.fault_rate >= 1:
            await asyncio.sleep(self.random.expovariate(1) * MEAN_FAULT_INTERVAL / self.settings.fault_rate)
            kind = first_kinds.pop() if first_kinds else self.random.choice(self._fault_kinds)
            pending.append(asyncio.ensure_future(FAULTS[kind](self)))
        await asyncio.gather(*pending)

    async def _end_faults(self):
        """Ends the faults of all links and starts or resumes all nodes."""
        self.cluster.relay.clear_faults()
        for _ in range(MAX_RECOVERY_POLLS):
            if not self.busy_nodes:
                break
            await asyncio.sleep(SHORT_POLL_INTERVAL)
        for name in self.cluster.nodes:
            self.cluster.resume(name)
            if not self.cluster.is_up(name):
                await self.cluster.restart(name)


def trial_limits(processes):
    """Returns fleet-wide limits that the load exceeds."""
    return [
        {
            "name": "all",
            "rate": REQUEST_RATE * 2 / 3,
            "burst": max(20, processes),
            "floor": REQUEST_RATE / 3 / processes,
        },
        {"name": "confirms", "underWay": 3, "operation": "confirm"},
    ]


def all_views_are_certain(states):
    """Returns whether all nodes have answered and report a certain view."""
    return all(state and state["sure"] for state in states)


def no_plan_is_open(states):
    """Returns whether all nodes have answered, report a certain view and have no open plan."""
    return all(state and state["sure"] and not state["plan"] for state in states)


async def run(seed, **settings):
    """Runs one trial and returns its `TrialResult`.

    Args:
        seed: The trial's seed.
        **settings: Fields of a `TrialSettings`.
    """
    return await Trial(seed, **settings).run()


def total_counts(results):
    """Returns the sums of the event counts of several `TrialResult`s."""
    counts = defaultdict(int)
    for result in results:
        for event, count in result.event_counts.items():
            counts[event] += count
    return dict(counts)
