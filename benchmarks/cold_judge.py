"""Counts what reaches cold executors beside the bound at which they fall.

A call counts by its work over the mean work, also where it is turned away. The bound of any window is
N + 2 root N + 2, N being the calls that the settings allow the executor at the window's end.
"""

from typing import NamedTuple

from grebedyke.units import TICKS_PER_SECOND

# A window of which no more than this share came from nodes that knew of the start is no fault of theirs.
MIN_INFORMED_SHARE = 2 / 3


class Window(NamedTuple):
    """A window of calls at a cold executor; the greater, the nearer to its bound or the farther beyond.

    Attributes:
        share: Calls over the bound.
        calls: Calls of mean work.
        bound: The most that are allowed.
        allowed: N, the calls that the settings allow.
        count: Number of the calls, whatever their work.
        informed: Share of the calls from nodes that knew of the executor's start, 0 to 1.
        age: Time since that start at the window's end, in seconds.
    """

    share: float
    calls: float
    bound: float
    allowed: float
    count: int
    informed: float
    age: float

    def describe(self):
        """Returns the window as one line."""
        return (
            f"{self.calls:.1f} calls ({self.count} by number) beside {self.bound:.1f} "
            f"(N {self.allowed:.1f}), {self.informed:.0%} told, at {self.age:.1f} s"
        )


class Call(NamedTuple):
    """A call that reached a cold executor.

    Attributes:
        time: When it came, in ticks.
        calls: Its work over the mean work.
        informed: Whether its node knew of the executor's start.
    """

    time: int
    calls: float
    informed: bool


class ColdJudge:
    """Judges each window that ends with a call at a cold executor.

    Attributes:
        settings: The round's DrawnSettings.
        worst: The Window that came nearest to its bound; None before the first.
        windows: Number of windows that were judged.
        over: (time, executor) of each window over its bound.
        cold_calls: Number of calls at cold executors.
    """

    def __init__(self, settings):
        self.settings = settings
        self.worst = None
        self.windows = 0
        self.over = []
        self.cold_calls = 0

    def on_call(self, now, executor, work, informed):
        """Judges the window that ends with this call.

        Args:
            now: The time in ticks.
            executor: The SimulatedExecutor; its recent calls are updated.
            work: The call's work, in seconds.
            informed: Whether its node knew of the executor's start.
        """
        if executor.model.capacity(now / TICKS_PER_SECOND) >= 1:
            return
        self.cold_calls += 1
        recent = executor.recent_calls
        recent.append(Call(now, work / self.settings.mean_work, informed))
        while recent[0].time <= now - self.settings.fall_window:
            recent.popleft()
        window = self._window(now, executor)
        if window.informed <= MIN_INFORMED_SHARE:
            return
        self.windows += 1
        self.worst = max(self.worst or window, window)
        if window.calls > window.bound:
            self.over.append((now, executor.id))

    def _window(self, now, executor):
        """Returns the window of the executor's recent calls."""
        settings = self.settings
        recent = executor.recent_calls
        total = sum(call.calls for call in recent)
        informed = sum(call.calls for call in recent if call.informed) / total
        warmth = executor.model.capacity(now / TICKS_PER_SECOND)
        mean_calls = settings.fall_multiple * warmth * executor.power * settings.fall_window
        allowed = mean_calls / TICKS_PER_SECOND / settings.mean_work
        bound = allowed + 2 * allowed**0.5 + 2
        return Window(
            share=total / bound,
            calls=total,
            bound=bound,
            allowed=allowed,
            count=len(recent),
            informed=informed,
            age=(now - executor.started_at) / TICKS_PER_SECOND,
        )
