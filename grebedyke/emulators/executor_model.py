"""A model of an executor without I/O: slots, queue, cold start, overload while cold, idempotency keys.

Times are in seconds of the caller's clock; work is in seconds at speed 1.
"""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

_NEVER = -1e9
"""A time earlier than any idempotency window."""


class Admission(StrEnum):
    """The result of submitting a job."""

    STARTED = "started"
    QUEUED = "queued"
    REJECTED = "rejected"
    """The job was rejected and never runs."""
    OVERLOADED = "overloaded"
    """The job overloaded the executor, which has failed."""


class Effect(NamedTuple):
    """A job that took effect; used to check the rule against double effects.

    Attributes:
        id: The request's id.
        key: The request's idempotency key, empty if there is none.
        operation: The operation's name.
        time: The time of the effect, in seconds.
    """

    id: str
    key: str
    operation: str
    time: float


class Job:
    """An accepted job.

    Attributes:
        id: The request's id.
        key: The request's idempotency key, empty if there is none.
        operation: The operation's name.
        work: The running time at speed 1, in seconds.
        ends_at: The end of the job, in seconds; None while it is queued.
    """

    __slots__ = ("id", "key", "operation", "work", "ends_at")

    def __init__(self, id, key, operation, work):
        self.id = id
        self.key = key
        self.operation = operation
        self.work = work
        self.ends_at = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ExecutorSettings:
    """The capacity and behaviour of an executor.

    Attributes:
        slots: Maximum number of running jobs.
        speed: Speed at which jobs run, 1 by default.
        queue: Maximum number of queued jobs.
        cold_capacity: Share of the full capacity at the start.
        warm_up_time: Seconds until the full capacity is reached.
        overload_multiple: While cold, the executor fails if the work received, without the largest job, is
            more than this multiple of the work that it can do.
        overload_window: Seconds over which the received work is counted.
        idempotency_window: Seconds for which repeats of a key are dropped; 0 disables this.
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
        settings: The executor's `ExecutorSettings`.
        started_at: Time of the last start, in seconds.
        running: The jobs in the slots.
        waiting: The queued jobs, the next one first.
        effects: All effects, including those before a restart.
        effect_times: Time of the last effect of each key. Executors of one idempotency group share this dict.
        is_overloaded: Whether the executor has failed because of overload.

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
        self._recent_work = deque()  # (time, work) of each job received within the overload window.

    def restart(self, now):
        """Restarts the executor cold; its jobs are lost, past effects remain."""
        self.running = []
        self.waiting = deque()
        self.effect_times = {}
        self.started_at = now
        self._recent_work.clear()
        self.is_overloaded = False

    def capacity(self, now):
        """Returns the share of the full capacity available at a time."""
        settings = self.settings
        if not settings.warm_up_time:
            return 1.0
        age = max(now - self.started_at, 0)
        return min(1.0, settings.cold_capacity + (1 - settings.cold_capacity) * age / settings.warm_up_time)

    def submit(self, now, id, key, operation, work):
        """Accepts or rejects a job; returns the `Admission`."""
        if self.capacity(now) < 1 and self._exceeds_overload_limit(now, work):
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

    def _exceeds_overload_limit(self, now, work):
        """Counts received work, accepted or not; returns whether it overloads the executor."""
        settings = self.settings
        recent = self._recent_work
        recent.append((now, work))
        while recent and recent[0][0] <= now - settings.overload_window:
            recent.popleft()
        possible_work = settings.slots * settings.speed * self.capacity(now) * settings.overload_window
        largest = max(each for _, each in recent)
        return sum(each for _, each in recent) > settings.overload_multiple * possible_work + largest

    def _start(self, now, job):
        job.ends_at = now + job.work / (self.settings.speed * self.capacity(now))
        last_effect = self.effect_times.get(job.key, _NEVER) if job.key else _NEVER
        is_repeat = now - last_effect < self.settings.idempotency_window
        if not is_repeat:
            self.effects.append(Effect(job.id, job.key, job.operation, now))
            if job.key:
                self.effect_times[job.key] = now
        self.running.append(job)

    def next_end(self):
        """Returns the end of the next running job to end, None if no job is running."""
        return min((job.ends_at for job in self.running), default=None)

    def take_finished(self, now):
        """Removes the jobs that have ended from their slots and returns them."""
        finished = [job for job in self.running if job.ends_at <= now]
        self.running = [job for job in self.running if job.ends_at > now]
        return finished

    def start_waiting(self, now):
        """Starts queued jobs in free slots and returns them."""
        started = []
        while self.waiting and len(self.running) < self.settings.slots:
            job = self.waiting.popleft()
            self._start(now, job)
            started.append(job)
        return started

    def cancel(self, id):
        """Removes a job from the queue; returns whether it was queued. A running job is not stopped."""
        before = len(self.waiting)
        self.waiting = deque(job for job in self.waiting if job.id != id)
        return len(self.waiting) < before

    def load_report(self):
        """Returns the load report under its wire names."""
        return {
            "x0": max(self.settings.slots - len(self.running), 0),
            "inflight": len(self.running) + len(self.waiting),
            "queue": len(self.waiting),
        }
