"""A simulated cluster: the real components in simulated time, over an unreliable network.

All random draws depend on one seed, so a trial can be repeated by its seed. Times are ticks of simulated
time; nodes see only their own clocks. `rollout_specification.py` has the checks, `simulated_faults.py` the
faults.
"""

import random
from collections import Counter
from heapq import heappop, heappush

import msgpack

from grebedyke.consensus.consensus import Consensus
from grebedyke.maintenance.component import Maintenance
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.testbed.rollout_specification import (
    NODE_PREFIX,
    ROLLOUT_KEY,
    ExecutorStates,
    RolloutSpecification,
)
from grebedyke.testbed.simulated_faults import FAULTS
from grebedyke.testbed.simulated_node import SimulatedExecutor, SimulatedNode
from grebedyke.testbed.simulated_operators import SimulatedOperators
from grebedyke.testbed.simulated_settings import (
    DRAIN_GRACE,
    LEASE,
    NETWORK_DELAY,
    ROUND_TIMEOUT,
    SETTLING_TIME,
    WARM_UP_TIME,
    SimulatedClusterSettings,
    maintenance_settings,
)
from grebedyke.units import TICKS_PER_SECOND

FLEET_NAME = "f"
# Interval between the attempts of each node, in ticks.
ATTEMPT_INTERVAL = TICKS_PER_SECOND // 50
# Maximum time from the send of an attempt to its arrival at the executor, in ticks.
MAX_ATTEMPT_DELAY = DRAIN_GRACE * 9 // 10
# Time after which the driver of a plan has to take an executor's loss into account, in ticks.
LOSS_DETECTION_TIME = 5 * TICKS_PER_SECOND
# Mean time between two faults at a fault rate of 1, in ticks.
MEAN_FAULT_INTERVAL = 2 * TICKS_PER_SECOND


class SimulatedCluster:
    """The cluster of one trial.

    Attributes:
        seed: The seed of the trial.
        random: The source of all its random draws.
        drift: Maximum difference between the rates of any two clocks, as a fraction.
        now: The simulated time in ticks.
        node_count: Number of nodes.
        voters: Numbers of the nodes that are voters.
        nodes: The `SimulatedNode`s by number.
        executors: The `SimulatedExecutor`s.
        specification: The `RolloutSpecification` that checks the trial.
        event_counts: Number of injected faults and other events, by name.
        sent_bytes: Bytes of messages sent by node.
        cut_links: The (sender, receiver) pairs whose messages are lost.
        stalled_links: The (sender, receiver) pairs whose messages are held back.
        stalled_messages: (sender, receiver, data) of each message that is held back.
        loss_probability: The probability that a message is lost.
        duplication_probability: The probability that a message is duplicated.
        mean_delay: Mean delay of a message, in ticks.
        operators: The `SimulatedOperators`.
        last_fault_end: Tick at which the last of the injected faults ends.
    """

    def __init__(self, seed, **settings):
        """Sets up the cluster of a trial.

        Args:
            seed: The seed of the trial.
            **settings: Fields of `SimulatedClusterSettings`.
        """
        settings = SimulatedClusterSettings(**settings)
        self.seed = seed
        self.random = random.Random(f"world {seed}")
        self.drift = settings.drift
        self.now = 0
        self.node_count = settings.nodes
        self.voters = list(range(settings.voters))
        self.executors = [SimulatedExecutor(f"e{i}", "ab"[i % 2]) for i in range(settings.executors)]
        self.specification = RolloutSpecification(len(self.executors), self.voters)
        self.event_counts = Counter()
        self.sent_bytes = Counter()
        self.cut_links = set()
        self.stalled_links = set()
        self.stalled_messages = []
        self.loss_probability = 0.0
        self.duplication_probability = 0.0
        self.mean_delay = NETWORK_DELAY
        self.last_fault_end = 0
        self._fault_rate = settings.faults
        self._fault_kinds = list(settings.kinds or FAULTS)
        self._events = []
        self._event_number = 0
        self._process_count = 0
        self._accepted_at = {}
        self.operators = SimulatedOperators(self)
        self.nodes = [SimulatedNode(self, node_id) for node_id in range(self.node_count)]
        for node in self.nodes:
            # The rates of any two clocks differ by at most the configured drift.
            node.clock_rate = 1 + (self.random.random() - 0.5) * self.drift

    # Processes and components.

    def next_process_number(self):
        """Returns a new process number, which no other process of the cluster has."""
        self._process_count += 1
        return self._process_count

    def consensus_for(self, node):
        """Returns the consensus component of a node's process."""
        return Consensus(
            SeededRandom(f"{self.seed} {node.process}"),
            FLEET_NAME,
            node.node_id,
            self.node_count,
            self.voters,
            node.process,
            ROUND_TIMEOUT,
        )

    def components_for(self, node):
        """Returns the components of a node's process, in the order in which its host calls them."""
        consensus = self.consensus_for(node)
        node_id = node.node_id
        settings = maintenance_settings(LEASE, self.drift)
        maintenance = Maintenance(consensus, FLEET_NAME, node_id, self.node_count, node.process, settings)
        consensus.listeners.append(lambda now, key, value: self.value_learned(node_id, key, value))
        return [consensus, maintenance]

    def running_nodes(self):
        """Returns the nodes whose processes run and are not paused."""
        return [node for node in self.nodes if node.is_running and not node.is_paused]

    # Simulated time.

    def schedule(self, delay, call, *arguments):
        """Calls call(*arguments) after `delay` ticks."""
        self._event_number += 1
        heappush(self._events, (self.now + delay, self._event_number, call, arguments))

    def run(self, until):
        """Runs all events up to a tick."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heappop(self._events)
            call(*arguments)
        self.now = until

    # The network.

    def send(self, sender, receiver, message):
        """Sends a message from node to node; packing copies it and makes lists of tuples, as on the wire."""
        data = msgpack.packb(message)
        self.sent_bytes[sender] += len(data)
        if (sender, receiver) in self.cut_links:
            self.event_counts["cut"] += 1
            return
        if (sender, receiver) in self.stalled_links:
            self.event_counts["held"] += 1
            self.stalled_messages.append((sender, receiver, data))
            return
        if self.random.random() < self.loss_probability:
            self.event_counts["lost"] += 1
            return
        copies = 2 if self.random.random() < self.duplication_probability else 1
        for _ in range(copies):
            delay = 1 + int(self.mean_delay * self.random.expovariate(1))
            self.schedule(delay, self.deliver, sender, receiver, data)

    def deliver(self, sender, receiver, data):
        """Delivers a message to its receiver."""
        self.nodes[receiver].receive(sender, msgpack.unpackb(data, strict_map_key=False))

    # Checks.

    def record_acceptance(self, node):
        """Records the time at which a node first accepted each revision of the rollout."""
        accepted = node.components[0].accepted_value(ROLLOUT_KEY)
        if accepted:
            self._accepted_at.setdefault(accepted["rev"], self.now)

    def value_learned(self, node_id, key, value):
        """Checks a chosen value that a node has learned."""
        # A minority's accepted change may be chosen long after the observations on which it was based.
        decided_at = self.now
        if key == ROLLOUT_KEY and value:
            decided_at = self._accepted_at.get(value["rev"], self.now)
        lost = [
            executor.name
            for executor in self.executors
            if not executor.is_up
            and not executor.is_being_worked_on
            and decided_at > executor.changed_at + LOSS_DETECTION_TIME
        ]
        warming_up = [
            executor.name
            for executor in self.executors
            if self.now < executor.work_ended_at + WARM_UP_TIME * 98 // 100
        ]
        self.specification.value_learned(self.now, node_id, key, value, ExecutorStates(lost, warming_up))

    def is_settled(self):
        """Returns whether all nodes run, have current views and agree that no plan is open."""
        states = [node.components[1].status(node.clock()) for node in self.running_nodes()]
        if len(states) != self.node_count or len({state["rev"] for state in states}) != 1:
            return False
        return all(state["sure"] and not state["plan"] for state in states)

    # Nodes and load.

    def start_all(self):
        """Starts all nodes within a second, and the load."""
        for node in self.nodes:
            self.schedule(self.random.randrange(1, TICKS_PER_SECOND), node.start)
        self.schedule(1, self.generate_load)

    def finish_faults(self):
        """Runs until the last fault has ended, and starts the nodes that are down."""
        self.run(max(self.last_fault_end, self.now) + TICKS_PER_SECOND)
        for node in self.nodes:
            node.start_if_down()

    def generate_load(self):
        """Sends an attempt from each node to a random executor that it may use; repeats at an interval."""
        self.schedule(ATTEMPT_INTERVAL, self.generate_load)
        for node in self.nodes:
            if not node.is_running or node.is_paused:
                continue
            executor = self.random.choice(self.executors)
            if node.may_use(executor.name) and executor.is_up:
                self.event_counts["forwards"] += 1
                node.open_attempts[executor.name] += 1
                delay = self.random.randrange(1, MAX_ATTEMPT_DELAY)
                self.schedule(delay, self.end_attempt, node, node.process, executor)

    def end_attempt(self, node, process, executor):
        """Ends an attempt, which reaches its executor now."""
        if executor.is_being_worked_on:
            self.specification.attempt_reached_during_work(self.now, node.node_id, executor.name)
        if node.process == process:
            node.open_attempts[executor.name] -= 1

    def propagate_endpoint_list(self):
        """Passes the changed endpoint list to all nodes, to each at a random time within a second."""
        for node in self.nodes:
            self.schedule(self.random.randrange(1, TICKS_PER_SECOND), self.update_endpoint_list, node)

    def update_endpoint_list(self, node):
        """Passes the present endpoint list to one node."""
        if node.is_running and not node.is_paused:
            node.update_endpoint_list()
            node.run_components()

    # Faults.

    def schedule_fault(self, until):
        """Schedules a random next fault, unless the time for faults is over."""
        if self._fault_rate and self.now < until:
            delay = int(self.random.expovariate(1) * MEAN_FAULT_INTERVAL / self._fault_rate) + 1
            self.schedule(delay, self.inject_fault, self.random.choice(self._fault_kinds), until)

    def inject_fault(self, kind, until):
        """Injects a fault and schedules the next one."""
        if self.now < until:
            self.event_counts[kind] += 1
            FAULTS[kind](self)
            self.last_fault_end = max(self.last_fault_end, self.now)
            self.schedule_fault(until)


def run(seed, seconds=40, **settings):
    """Runs one trial: two plans are submitted early and in close succession, and faults are injected.

    Args:
        seed: The seed of the trial; with an odd seed the plan includes nodes.
        seconds: How long faults are injected.
        **settings: Fields of `SimulatedClusterSettings`.

    Returns:
        The violations and the cluster.
    """
    cluster = SimulatedCluster(seed, **settings)
    cluster.start_all()
    cluster.schedule(1, cluster.operators.poll_and_work)
    cluster.run(5 * TICKS_PER_SECOND)
    machines = [executor.name for executor in cluster.executors]
    if isinstance(seed, int) and seed % 2:
        machines += [f"{NODE_PREFIX}0", f"{NODE_PREFIX}{cluster.node_count - 1}"]
    first_plan = {
        "machines": machines,
        "most": 2,
        "mostZone": 1,
        "workMs": 20_000,
        "leastShare": 0.3,
        "late": "go on",
    }
    cluster.operators.call(b"/v1/maintenance/plan", first_plan)
    second_plan = {"machines": machines[:2], "most": 1, "workMs": 20_000, "id": "second"}
    delay = cluster.random.randrange(1, 3 * TICKS_PER_SECOND)
    cluster.schedule(delay, cluster.operators.call, b"/v1/maintenance/plan", second_plan)
    cluster.schedule_fault(seconds * TICKS_PER_SECOND)
    cluster.run(seconds * TICKS_PER_SECOND)
    cluster.finish_faults()
    end = cluster.now + SETTLING_TIME
    while cluster.now < end and not cluster.is_settled():
        cluster.run(cluster.now + TICKS_PER_SECOND)
    states = [node.components[1].status(node.clock()) for node in cluster.nodes]
    cluster.specification.trial_ended(cluster.now, states)
    return cluster.specification.violations, cluster
