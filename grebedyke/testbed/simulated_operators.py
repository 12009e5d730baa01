"""The operators of a simulated cluster: they give plans and work at the machines that are free."""

from grebedyke.testbed.rollout_specification import FAILED, FREE, NODE_PREFIX
from grebedyke.units import TICKS_PER_SECOND

# Operators look at a node so often, and work at a machine for so long, in ticks.
OPERATOR_INTERVAL = TICKS_PER_SECOND // 2
SHORTEST_WORK = TICKS_PER_SECOND
LONGEST_WORK = 3 * TICKS_PER_SECOND
# An operator's call is sent again so long after a doubtful answer, or after a node's death, in ticks.
CALL_RETRY_DELAY = TICKS_PER_SECOND
CALL_TIMEOUT = 6 * TICKS_PER_SECOND
CALL_RETRIES = 40


class SimulatedOperators:
    """What operators do.

    Attributes:
        cluster: The `SimulatedCluster`.
        handled_work: Numbers of the changes of machines that they have acted on.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.handled_work = set()

    def operate(self, interval=OPERATOR_INTERVAL):
        """Lets operators look at any node that answers, and work at what it says is free, again and again."""
        self.cluster.schedule(interval, self.operate, interval)
        running = self.cluster.running_nodes()
        if not running:
            return
        node = self.cluster.random.choice(running)
        for row in node.components[1].status(node.clock())["machines"]:
            self._handle_machine(row["name"], row["state"], row["number"])

    def _handle_machine(self, name, state, number):
        """Does what operators do about a machine in this state, once for each number."""
        is_new = number not in self.handled_work
        if state == FREE and name.startswith(NODE_PREFIX):
            if is_new:
                self._restart_node(self.cluster.nodes[int(name.removeprefix(NODE_PREFIX))], number)
            return
        executor = next((executor for executor in self.cluster.executors if executor.name == name), None)
        if executor is None or not is_new:
            return
        if state == FAILED and executor.is_up and not executor.is_in_work:
            # The confirmation came too late: it is given again, with the number that the machine has now.
            self.handled_work.add(number)
            self._confirm_back(executor, number)
        elif state == FREE:
            self._begin_work(executor, number)

    def _restart_node(self, node, number):
        """Works at a node as at a machine: its process ends, and another one starts later."""
        if node.is_running:
            self.handled_work.add(number)
            self.cluster.event_counts["nodes worked at"] += 1
            node.crash()
            self.cluster.schedule(
                self.cluster.random.randrange(SHORTEST_WORK, LONGEST_WORK), node.start_if_down
            )

    def _begin_work(self, executor, number):
        executor.is_in_work = True
        executor.switch(self.cluster.now, False)
        self.handled_work.add(number)
        self.cluster.event_counts["worked at"] += 1
        duration = self.cluster.random.randrange(SHORTEST_WORK, LONGEST_WORK)
        self.cluster.schedule(duration, self._end_work, executor, number)

    def _end_work(self, executor, number):
        executor.is_in_work = False
        executor.work_ended_at = self.cluster.now
        executor.switch(self.cluster.now, True)
        self.cluster.change_endpoint_list()
        self._confirm_back(executor, number)

    def _confirm_back(self, executor, number):
        self.call(b"/v1/maintenance/back/%s/%d" % (executor.name.encode(), number))

    def call(self, path, body=None, retries=CALL_RETRIES):
        """Sends an operator's call to any node, again until the answer is neither 400 nor 503."""
        running = self.cluster.running_nodes()
        if not running:
            if retries:
                self.cluster.schedule(CALL_RETRY_DELAY, self.call, path, body, retries - 1)
            return
        node = self.cluster.random.choice(running)
        process = node.process

        def take_answer(status, text):
            """Sends the call again where the answer is a doubt."""
            self.cluster.specification.call_answered(path, status, text)
            if status in (400, 503) and retries:
                self.cluster.schedule(CALL_RETRY_DELAY, self.call, path, body, retries - 1)
            elif status == 200:
                self.cluster.event_counts["calls"] += 1

        def give_up():
            """Takes the death of the node for an answer."""
            if node.process != process:
                take_answer(503, "died")

        self.cluster.schedule(CALL_TIMEOUT, give_up)
        node.components[1].operator_call(node.clock(), take_answer, b"POST", path, body)
        node.run_components()
