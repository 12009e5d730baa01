"""The operators of a simulated cluster: they submit plans and work on the machines that are free."""

from grebedyke.testbed.rollout_specification import FAILED, FREE, NODE_PREFIX
from grebedyke.units import TICKS_PER_SECOND

# Interval at which operators poll a node, and range of the time for which they work on a machine, in ticks.
OPERATOR_INTERVAL = TICKS_PER_SECOND // 2
MIN_WORK_TIME = TICKS_PER_SECOND
MAX_WORK_TIME = 3 * TICKS_PER_SECOND
# Delay before a call is repeated, after an answer of 400 or 503 or if no node runs; time after which a call
# counts as answered by 503 if the node's process has ended; in ticks.
CALL_RETRY_DELAY = TICKS_PER_SECOND
CALL_TIMEOUT = 6 * TICKS_PER_SECOND
CALL_RETRIES = 40


class SimulatedOperators:
    """The operators of a simulated cluster.

    Attributes:
        cluster: The `SimulatedCluster`.
        handled_numbers: The status numbers of machines on which the operators have acted.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.handled_numbers = set()

    def poll_and_work(self, interval=OPERATOR_INTERVAL):
        """Polls the status at a random running node and handles its machines; repeats at an interval."""
        self.cluster.schedule(interval, self.poll_and_work, interval)
        running = self.cluster.running_nodes()
        if not running:
            return
        node = self.cluster.random.choice(running)
        for row in node.components[1].status(node.clock())["machines"]:
            self._handle_machine(row["name"], row["state"], row["number"])

    def _handle_machine(self, name, state, number):
        """Acts on a machine in this state, once for each status number."""
        is_new = number not in self.handled_numbers
        if state == FREE and name.startswith(NODE_PREFIX):
            if is_new:
                self._restart_node(self.cluster.nodes[int(name.removeprefix(NODE_PREFIX))], number)
            return
        executor = next((executor for executor in self.cluster.executors if executor.name == name), None)
        if executor is None or not is_new:
            return
        if state == FAILED and executor.is_up and not executor.is_being_worked_on:
            # The confirmation came too late: it is repeated with the machine's new status number.
            self.handled_numbers.add(number)
            self._confirm_back(executor, number)
        elif state == FREE:
            self._begin_work(executor, number)

    def _restart_node(self, node, number):
        """Works on a node as on a machine: its process ends, and a new one starts later."""
        if node.is_running:
            self.handled_numbers.add(number)
            self.cluster.event_counts["nodes worked at"] += 1
            node.crash()
            self.cluster.schedule(
                self.cluster.random.randrange(MIN_WORK_TIME, MAX_WORK_TIME), node.start_if_down
            )

    def _begin_work(self, executor, number):
        executor.is_being_worked_on = True
        executor.set_running(self.cluster.now, False)
        self.handled_numbers.add(number)
        self.cluster.event_counts["worked at"] += 1
        duration = self.cluster.random.randrange(MIN_WORK_TIME, MAX_WORK_TIME)
        self.cluster.schedule(duration, self._end_work, executor, number)

    def _end_work(self, executor, number):
        executor.is_being_worked_on = False
        executor.work_ended_at = self.cluster.now
        executor.set_running(self.cluster.now, True)
        self.cluster.propagate_endpoint_list()
        self._confirm_back(executor, number)

    def _confirm_back(self, executor, number):
        self.call(b"/v1/maintenance/back/%s/%d" % (executor.name.encode(), number))

    def call(self, path, body=None, retries=CALL_RETRIES):
        """Sends an operator's call to a random running node; repeats it after an answer of 400 or 503."""
        running = self.cluster.running_nodes()
        if not running:
            if retries:
                self.cluster.schedule(CALL_RETRY_DELAY, self.call, path, body, retries - 1)
            return
        node = self.cluster.random.choice(running)
        process = node.process

        def handle_answer(status, text):
            """Passes the answer to the checker, and repeats the call after an answer of 400 or 503."""
            self.cluster.specification.call_answered(path, status, text)
            if status in (400, 503) and retries:
                self.cluster.schedule(CALL_RETRY_DELAY, self.call, path, body, retries - 1)
            elif status == 200:
                self.cluster.event_counts["calls"] += 1

        def handle_timeout():
            """Treats the end of the node's process as an answer of 503."""
            if node.process != process:
                handle_answer(503, "process ended")

        self.cluster.schedule(CALL_TIMEOUT, handle_timeout)
        node.components[1].operator_call(node.clock(), handle_answer, b"POST", path, body)
        node.run_components()
