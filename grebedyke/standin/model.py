"""An executor without I/O: slots, a queue, a cold start, falling over, repeats that are dropped.

Times are seconds of whatever clock the caller has; work is seconds at speed 1.
"""

from collections import deque
from typing import NamedTuple


class Run(NamedTuple):
    """A job that took effect: what the rule on double effects is judged by."""

    id: str
    key: str
    operation: str
    at: float


class Job:
    __slots__ = ("id", "key", "operation", "work", "came", "began", "ends", "dropped")

    def __init__(self, id, key, operation, work, came):
        self.id, self.key, self.operation, self.work, self.came = id, key, operation, work, came
        self.began = self.ends = None
        self.dropped = False  # a repeat whose effect was there already


class Worker:
    """`cold`: share of its speed at the start, full after `ramp`; `multiple`, `tip`: what fells it while
    cold.

    `window`: how long a repeat by the same key is known, 0: never.

    >>> w = Worker(slots=1, queue=1, born=-99)
    >>> [w.take(0, f"j{i}", "", "op", 0.5) for i in range(3)]
    ['began', 'waits', 'full']
    >>> w.next(), [job.id for job in w.finished(0.5)], [job.id for job in w.started(0.5)], w.report()
    (0.5, ['j0'], ['j1'], {'x0': 0, 'inflight': 1, 'queue': 0})
    """

    def __init__(
        self, slots=4, speed=1.0, queue=16, cold=0.3, ramp=8.0, multiple=3.0, tip=1.0, window=10.0, born=0.0
    ):
        self.slots, self.speed, self.queue, self.cold, self.ramp = slots, speed, queue, cold, ramp
        self.multiple, self.tip, self.window = multiple, tip, window
        self.running, self.waiting, self.runs, self.known, self.sent = [], deque(), [], {}, deque()
        self.born, self.fallen, self.draining, self.gone = born, False, False, set()

    def restart(self, now):
        """Cold again; what it held is gone, what took effect has taken effect."""
        self.running, self.waiting, self.known, self.born = [], deque(), {}, now
        self.sent.clear()
        self.fallen = False

    def warmth(self, now):
        return (
            min(1.0, self.cold + (1 - self.cold) * max(now - self.born, 0) / self.ramp) if self.ramp else 1.0
        )

    def take(self, now, id, key, operation, work):
        """'began', 'waits', 'full' (never ran) or 'fell': it has been pushed over and is dead."""
        if self.warmth(now) < 1:
            # Counted as a budget: all work that reaches it within any window, turned away or not.
            self.sent.append((now, work))
            while self.sent and self.sent[0][0] <= now - self.tip:
                self.sent.popleft()
            carries = self.slots * self.speed * self.warmth(now) * self.tip
            if sum(x for _, x in self.sent) > self.multiple * carries + max(x for _, x in self.sent):
                self.fallen = True
                return "fell"
        job = Job(id, key, operation, work, now)
        if len(self.running) < self.slots and not self.waiting:
            self.begin(now, job)
            return "began"
        if len(self.waiting) >= self.queue:
            return "full"
        self.waiting.append(job)
        return "waits"

    def begin(self, now, job):
        job.began = now
        job.ends = now + job.work / (self.speed * self.warmth(now))
        known = self.known.get(job.key, -1e9) if job.key else -1e9
        job.dropped = now - known < self.window
        if not job.dropped:
            self.runs.append(Run(job.id, job.key, job.operation, now))
            if job.key:
                self.known[job.key] = now
        self.running.append(job)

    def next(self):
        """When the next job ends, None while none runs."""
        return min((job.ends for job in self.running), default=None)

    def finished(self, now):
        done = [job for job in self.running if job.ends <= now]
        self.running = [job for job in self.running if job.ends > now]
        return done

    def started(self, now):
        begun = []
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            self.begin(now, job)
            begun.append(job)
        return begun

    def drop(self, id):
        """Given up: a job that waits goes, one that runs goes on. True: it never ran."""
        before = len(self.waiting)
        self.waiting = deque(job for job in self.waiting if job.id != id)
        return len(self.waiting) < before

    def report(self):
        return {
            "x0": max(self.slots - len(self.running), 0),
            "inflight": len(self.running) + len(self.waiting),
            "queue": len(self.waiting),
        }
