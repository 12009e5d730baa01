"""Checks the load of cold executors against the bound at which they fail.

Each attempt counts with its work divided by the mean work, even if the executor rejects it. The bound of a
window is N + 2 sqrt(N) + 2, with N as the load that the settings allow the executor at the window's end.
"""

from typing import NamedTuple

from grebedyke.units import TICKS_PER_SECOND

# Windows are only checked if more than this share of the load is from nodes informed of the executor's start.
# Other nodes could not limit their attempts.
MIN_INFORMED_SHARE = 2 / 3


class Window(NamedTuple):
    """Load of a cold executor in a time window; windows are ordered by how near they are to their bound.

    Attributes:
        load_ratio: `load` divided by `bound`.
        load: Work of the attempts, in units of the mean work.
        bound: The maximum load.
        allowed_load: N, the load that the settings allow.
        attempts: Number of attempts.
        informed_share: Share of the load from nodes informed of the executor's start, 0 to 1.
        age: Time from that start to the window's end, in seconds.
    """

    load_ratio: float
    load: float
    bound: float
    allowed_load: float
    attempts: int
    informed_share: float
    age: float

    def describe(self):
        """Returns the window as one line."""
        return (
            f"load {self.load:.1f} ({self.attempts} attempts), bound {self.bound:.1f} "
            f"(N {self.allowed_load:.1f}), {self.informed_share:.0%} informed, at {self.age:.1f} s"
        )


class ColdAttempt(NamedTuple):
    """An attempt that reached a cold executor.

    Attributes:
        time: Time of arrival, in ticks.
        load: Its work in units of the mean work.
        is_informed: Whether its node was informed of the executor's start.
    """

    time: int
    load: float
    is_informed: bool


class ColdLoadChecker:
    """Checks each window that ends with an attempt at a cold executor.

    Attributes:
        settings: The `RoundSettings`.
        worst: The `Window` nearest to its bound or farthest beyond it; None before the first.
        window_count: Number of checked windows.
        violations: (time, executor id) of each window over its bound.
        cold_attempts: Number of attempts at cold executors.
    """

    def __init__(self, settings):
        self.settings = settings
        self.worst = None
        self.window_count = 0
        self.violations = []
        self.cold_attempts = 0

    def on_attempt(self, now, executor, work, is_informed):
        """Checks the window that ends with this attempt.

        Args:
            now: The time in ticks.
            executor: The `SimulatedExecutor`; its recent attempts are updated.
            work: The work of the attempt, in seconds.
            is_informed: Whether its node was informed of the executor's start.
        """
        if executor.model.capacity(now / TICKS_PER_SECOND) >= 1:
            return
        self.cold_attempts += 1
        recent = executor.recent_attempts
        recent.append(ColdAttempt(now, work / self.settings.mean_work, is_informed))
        while recent[0].time <= now - self.settings.fall_window:
            recent.popleft()
        window = self._window(now, executor)
        if window.informed_share <= MIN_INFORMED_SHARE:
            return
        self.window_count += 1
        self.worst = max(self.worst or window, window)
        if window.load > window.bound:
            self.violations.append((now, executor.id))

    def _window(self, now, executor):
        """Returns the window of the executor's recent attempts."""
        settings = self.settings
        recent = executor.recent_attempts
        total = sum(attempt.load for attempt in recent)
        informed_share = sum(attempt.load for attempt in recent if attempt.is_informed) / total
        warmth = executor.model.capacity(now / TICKS_PER_SECOND)
        allowed_work = settings.fall_multiple * warmth * executor.full_capacity * settings.fall_window
        allowed_load = allowed_work / TICKS_PER_SECOND / settings.mean_work
        bound = allowed_load + 2 * allowed_load**0.5 + 2
        return Window(
            load_ratio=total / bound,
            load=total,
            bound=bound,
            allowed_load=allowed_load,
            attempts=len(recent),
            informed_share=informed_share,
            age=(now - executor.started_at) / TICKS_PER_SECOND,
        )
