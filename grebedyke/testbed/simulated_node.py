"""A node of a simulated cluster: its process, clock and disk, and the host of its components."""

from collections import Counter
from functools import partial

from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.actions import (
    AnswerCall,
    ExcludeEndpoints,
    PersistRecord,
    SendMessage,
    WakeAt,
)
from grebedyke.units import TICKS_PER_SECOND

# Ranges of the duration of a write to disk, in ticks.
WRITE_TIME = (5, 100)
SLOW_WRITE_TIME = (2 * TICKS_PER_SECOND, 5 * TICKS_PER_SECOND)
# Interval at which due events of a paused process are retried, in ticks.
PAUSED_RETRY_INTERVAL = TICKS_PER_SECOND // 20
# Number of messages that the socket buffer keeps for a paused process.
MAX_UNREAD_MESSAGES = 2_000
# The monotonic clock of a machine starts at a random tick below this one.
MAX_CLOCK_OFFSET = 10**9


class SimulatedDisk:
    """The disk of a node, which keeps its content when processes end.

    Attributes:
        files: Content by file name.
        older_files: An older copy of the files, which a fault may restore.
        undoes_writes_on_crash: Whether writes are reported as done although a crash undoes them.
        slow: Whether a write takes seconds.
        fails: Whether writes end with an error.
    """

    def __init__(self):
        self.files = {}
        self.older_files = {}
        self.undoes_writes_on_crash = False
        self.slow = False
        self.fails = False
        self._unsynced = {}

    def write(self, name, data):
        """Replaces a file."""
        if self.undoes_writes_on_crash:
            self._unsynced.setdefault(name, self.files.get(name))
        else:
            self._unsynced.pop(name, None)
        self.files[name] = data

    def crash(self):
        """Undoes the writes that were reported as done but not synced."""
        for name, previous in self._unsynced.items():
            if previous is None:
                self.files.pop(name, None)
            else:
                self.files[name] = previous
        self._unsynced = {}


class SimulatedNode:
    """A node over all its processes: the counterpart of `service/component_host.py` without sockets.

    Attributes:
        cluster: The `SimulatedCluster` of the node.
        node_id: The node's number.
        disk: Its `SimulatedDisk`.
        clock_rate: Ticks of the node's clock for each tick of simulated time.
        clock_offset: The time of the node's clock at the start of simulated time, in ticks.
        process: Number of the running process, unique in the cluster; 0 if no process runs.
        is_running: Whether a process runs; it may be paused.
        is_paused: Whether the process is stopped by a signal and may be resumed.
        components: The components of the process, in the order in which they are called.
        unread_messages: (sender, message) of each message that has arrived while the process was paused.
        excluded_names: Names of the executors that the components exclude.
        excludes_all_others: Whether the components exclude all other executors, too.
        open_attempts: Number of attempts in flight by executor.
    """

    def __init__(self, cluster, node_id):
        self.cluster = cluster
        self.node_id = node_id
        self.disk = SimulatedDisk()
        self.clock_rate = 1.0
        self.clock_offset = 0
        self.process = 0
        self.is_running = False
        self.is_paused = False
        self.components = []
        self.unread_messages = []
        self.excluded_names = frozenset()
        self.excludes_all_others = True
        self.open_attempts = Counter()

    def clock(self):
        """Returns the present tick of the node's own clock."""
        return int(self.clock_offset + self.cluster.now * self.clock_rate)

    # Processes.

    def start(self):
        """Starts a new process from the files on the disk."""
        cluster = self.cluster
        self.process = cluster.next_process_number()
        self.is_running = True
        self.is_paused = False
        self.unread_messages = []
        self.excluded_names = frozenset()
        self.excludes_all_others = True
        self.open_attempts = Counter()
        self.clock_offset = cluster.random.randrange(MAX_CLOCK_OFFSET)
        self.components = cluster.components_for(self)
        for component in self.components:
            records = {name: self.disk.files.get(name) for name in component.record_files}
            component.restore(self.clock(), records)
        self.update_endpoint_list()
        self.run_components()

    def start_if_down(self):
        """Starts a new process unless one is running."""
        if not self.is_running:
            self.start()

    def crash(self):
        """Ends the process without a shutdown."""
        self.disk.crash()
        self.is_running = False
        self.components = []
        self.process = 0

    def resume(self):
        """Resumes a paused process; it receives the buffered messages and the newest endpoint list."""
        self.is_paused = False
        messages = self.unread_messages
        self.unread_messages = []
        for sender, message in messages[-MAX_UNREAD_MESSAGES:]:
            self.receive(sender, message)
        self.update_endpoint_list()
        self.run_components()

    # Inputs of the components.

    def update_endpoint_list(self):
        """Passes the present endpoint list to the components."""
        rows = [executor.endpoint_row() for executor in self.cluster.executors if executor.is_up]
        for component in self.components:
            component.endpoints_changed(self.clock(), True, rows)

    def receive(self, sender, message):
        """Passes a message to the component that handles it."""
        if self.is_paused:
            self.unread_messages.append((sender, message))
        elif self.is_running:
            for component in self.components:
                if component.receive(self.clock(), sender, message):
                    break
            self.run_components()

    def run_components(self):
        """Executes the actions of the components until none of them has another one."""
        if not self.is_running or self.is_paused:
            return
        now = self.clock()
        for component in self.components:
            watched = component.watched_endpoints
            if watched:
                component.open_attempts_reported(now, [name for name in watched if self.open_attempts[name]])
        has_acted = True
        while has_acted:
            has_acted = False
            for component in self.components:
                for action in iter(partial(component.next_action, now), None):
                    has_acted = True
                    self.perform(component, action)
        self.cluster.record_acceptance(self)

    # Actions of the components.

    def perform(self, component, action):
        """Executes one action of a component."""
        if isinstance(action, SendMessage):
            self.cluster.send(self.node_id, action.node, action.message)
        elif isinstance(action, PersistRecord):
            shortest, longest = SLOW_WRITE_TIME if self.disk.slow else WRITE_TIME
            delay = self.cluster.random.randrange(shortest, longest)
            self.cluster.schedule(delay, self.finish_write, self.process, component, action)
        elif isinstance(action, WakeAt):
            delay = int((action.at - self.clock()) / self.clock_rate) + 1
            self.cluster.schedule(max(delay, 1), self.wake, self.process)
        elif isinstance(action, ExcludeEndpoints):
            self.excluded_names = action.names
            self.excludes_all_others = action.all_others
        elif isinstance(action, AnswerCall):
            action.call(action.status, action.body)

    def wake(self, process):
        """Runs the components at a requested time, unless their process has ended."""
        if process != self.process:
            return
        if self.is_paused:
            self.cluster.schedule(PAUSED_RETRY_INTERVAL, self.wake, process)
        else:
            self.run_components()

    def finish_write(self, process, component, write):
        """Ends a write to disk, unless its process has ended.

        Args:
            process: Number of the process that started the write.
            component: The component that requested it.
            write: The `PersistRecord`.
        """
        if process != self.process:
            return
        if self.is_paused:
            self.cluster.schedule(PAUSED_RETRY_INTERVAL, self.finish_write, process, component, write)
            return
        succeeded = not self.disk.fails
        if succeeded:
            self.disk.write(write.file, write.data)
        else:
            self.cluster.event_counts["disk failed"] += 1
        component.record_persisted(self.clock(), write.file, write.number, succeeded)
        self.run_components()

    # Queries.

    def has_persisted_votes(self):
        """Returns whether the node votes and its disk has its current votes.

        A rejoining member loses its state if the write of its new record fails, so a node with a failing disk
        counts as one without persisted votes.
        """
        if not self.is_running:
            return False
        consensus = self.components[0]
        is_voting = consensus.acceptor.phase == MemberPhase.VOTING
        return is_voting and consensus.store.is_clean() and not self.disk.fails

    def may_use(self, executor_name):
        """Returns whether the node may send to an executor now; expired leases take effect first."""
        now = self.clock()
        for component in self.components:
            component.expire(now)
            for action in component.take_exclusions():
                self.perform(component, action)
        return not self.excludes_all_others and executor_name not in self.excluded_names


class SimulatedExecutor:
    """An executor and the operators' work on it.

    Attributes:
        name: Its name in the endpoint list.
        zone: Its failure domain.
        is_up: Whether it runs.
        start_count: Number of restarts.
        is_being_worked_on: Whether operators are working on it.
        changed_at: Tick of its last start or stop.
        work_ended_at: Tick at which the operators' last work on it ended.
    """

    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.is_up = True
        self.start_count = 0
        self.is_being_worked_on = False
        self.changed_at = -(10**9)
        self.work_ended_at = -(10**9)

    def set_running(self, now, is_up):
        """Starts or stops the executor."""
        self.is_up = is_up
        self.changed_at = now
        self.start_count += is_up

    def endpoint_row(self):
        """Returns its row of the endpoint list."""
        return (self.name, self.zone, "std", 0, "healthy", self.start_count, 1)
