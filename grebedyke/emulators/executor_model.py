"""An executor without I/O: slots, a queue, a cold start, overload while cold, repeats dropped by key.

Times are in seconds of whatever clock the caller has; work is in seconds at speed 1.
"""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

_NEVER = -1e9
"""Longer ago than any idempotency window."""


class Admission(StrEnum):
    """What became of a job that was submitted."""

    STARTED = "started"
    QUEUED = "queued"
    REJECTED = "rejected"
    """Turned away: it never runs."""
    OVERLOADED = "overloaded"
    """It pushed the executor over: the executor is dead."""


class Effect(NamedTuple):
    """A job that took effect; the rule on double effects is judged by these.

    Attributes:
        id: The request's.
        key: Its idempotency key, empty where it has none.
        operation: The operation's name.
        time: When it took effect, in seconds.
    """

    id: str
    key: str
    operation: str
    time: float


class Job:
    """A job that was accepted.

    Attributes:
        id: The request's.
        key: Its idempotency key, empty where it has none.
        operation: The operation's name.
        work: Its running time at speed 1, in seconds.
        ends: When it will have run, in seconds; None while it waits.
    """

    __slots__ = ("id", "key", "operation", "work", "ends")

    def __init__(self, id, key, operation, work):
        self.id = id
        self.key = key
        self.operation = operation
        self.work = work
        self.ends = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ExecutorSettings:
    """What an executor can do.

    Attributes:
        slots: How many jobs run at the same time.
        speed: How fast they run.
        queue: How many more jobs may wait.
        cold_capacity: Share of its capacity that it has at its start.
        warm_up_time: Seconds after which it has all of it.
        overload_multiple: It dies while cold of more than this multiple of the work that it can do.
        overload_window: Seconds over which that work is counted.
        idempotency_window: Seconds for which it drops repeats with the same key, 0: never.
    """

    slots: int = 4
    speed: float = 1.0
    queue: int = 16
    cold_capacity: float = 0.3
    warm_up_time: float = 8.0
    overload_multiple: float = 3.0
    overload_window: float = 1.0
    idempotency_window: float = 10.0


class ExecutorModel:
    """The state of an executor.

    Attributes:
        settings: Its `ExecutorSettings`.
        started_at: When it was started last, in seconds.
        running: The jobs in its slots.
        waiting: The jobs in its queue, the first is next.
        effects: Each `Effect`, also of earlier incarnations.
        effect_times: When a key took effect last. Executors that drop each other's repeats share it.
        is_overloaded: Whether it has died of more work than it could do.

    >>> executor = ExecutorModel(ExecutorSettings(slots=1, queue=1), started_at=-99)
    >>> [str(executor.submit(0, f"j{i}", "", "op", 0.5)) for i in range(3)]
    ['started', 'queued', 'rejected']
    >>> executor.next_end(), [job.id for job in executor.take_finished(0.5)]
    (0.5, ['j0'])
    >>> [job.id for job in executor.start_waiting(0.5)], executor.load_report()
    (['j1'], {'x0': 0, 'inflight': 1, 'queue': 0})
    """

    def __init__(self, settings=None, started_at=0.0):
        self.settings = settings or ExecutorSettings()
        self.started_at = started_at
        self.running = []
        self.waiting = deque()
        self.effects = []
        self.effect_times = {}
        self.is_overloaded = False
        self._recent_work = deque()  # (time, work) of all that came within the overload window

    def restart(self, now):
        """Starts it again, cold: its jobs are gone, what took effect has taken effect."""
        self.running = []
        self.waiting = deque()
        self.effect_times = {}
        self.started_at = now
        self._recent_work.clear()
        self.is_overloaded = False

    def capacity(self, now):
        """Returns the share of its capacity that it has at this time."""
        settings = self.settings
        if not settings.warm_up_time:
            return 1.0
        age = max(now - self.started_at, 0)
        return min(1.0, settings.cold_capacity + (1 - settings.cold_capacity) * age / settings.warm_up_time)

    def submit(self, now, id, key, operation, work):
        """Accepts a job or turns it away; returns the `Admission`."""
        if self.capacity(now) < 1 and self._overload(now, work):
            self.is_overloaded = True
            return Admission.OVERLOADED
        job = Job(id, key, operation, work)
        if len(self.running) < self.settings.slots and not self.waiting:
            self._start(now, job)
            return Admission.STARTED
        if len(self.waiting) >= self.settings.queue:
            return Admission.REJECTED
        self.waiting.append(job)
        return Admission.QUEUED

    def _overload(self, now, work):
        """Counts work that comes, whether it is accepted or not, and returns whether it is too much."""
        settings = self.settings
        recent = self._recent_work
        recent.append((now, work))
        while recent and recent[0][0] <= now - settings.overload_window:
            recent.popleft()
        bearable = settings.slots * settings.speed * self.capacity(now) * settings.overload_window
        largest = max(each for _, each in recent)
        return sum(each for _, each in recent) > settings.overload_multiple * bearable + largest

    def _start(self, now, job):
        job.ends = now + job.work / (self.settings.speed * self.capacity(now))
        last_effect = self.effect_times.get(job.key, _NEVER) if job.key else _NEVER
        is_repeat = now - last_effect < self.settings.idempotency_window
        if not is_repeat:
            self.effects.append(Effect(job.id, job.key, job.operation, now))
            if job.key:
                self.effect_times[job.key] = now
        self.running.append(job)

    def next_end(self):
        """Returns when the next job will have run, None while none runs."""
        return min((job.ends for job in self.running), default=None)

    def take_finished(self, now):
        """Frees the slots of jobs that have run, and returns those jobs."""
        finished = [job for job in self.running if job.ends <= now]
        self.running = [job for job in self.running if job.ends > now]
        return finished

    def start_waiting(self, now):
        """Starts jobs of the queue in free slots, and returns them."""
        started = []
        while self.waiting and len(self.running) < self.settings.slots:
            job = self.waiting.popleft()
            self._start(now, job)
            started.append(job)
        return started

    def cancel(self, id):
        """Takes a job out of the queue and returns whether it was there; one that runs goes on."""
        before = len(self.waiting)
        self.waiting = deque(job for job in self.waiting if job.id != id)
        return len(self.waiting) < before

    def load_report(self):
        """Returns the load report, by the names that it has on the wire."""
        return {
            "x0": max(self.settings.slots - len(self.running), 0),
            "inflight": len(self.running) + len(self.waiting),
            "queue": len(self.waiting),
        }
