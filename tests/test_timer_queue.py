"""Timers fire in order, and cancelled ones neither fire nor stay."""

import gc
import random
import weakref

from grebedyke.service.timer_queue import MIN_REMOVED, TimerQueue


class Held:
    """An object that a timer refers to."""


def test_timers_fire_in_the_order_of_their_times_and_of_being_set():
    """Timers are set, cancelled and fired at random; a plain list says what should happen."""
    for seed in range(20):
        draw = random.Random(seed)
        queue, expected, now = TimerQueue(), [], 0
        for number in range(500):
            if draw.random() < 0.6:
                timer = queue.add(now + draw.randrange(1, 50), print, number)
                expected.append((timer.when, number, timer))
            elif expected and draw.random() < 0.5:
                entry = draw.choice(expected)
                entry[2].cancel()
                entry[2].cancel()
                expected.remove(entry)
            now += draw.randrange(3)
            due = sorted(entry for entry in expected if entry[0] <= now)
            fired = []
            while timer := queue.pop_due(now):
                fired.append(timer.take()[1][0])
            assert fired == [number for _, number, _ in due], seed
            expected = [entry for entry in expected if entry[0] > now]
            assert len(queue) == len(expected) == len(list(queue))
            assert queue.next_time() == min((entry[0] for entry in expected), default=None)


def test_cancelled_timer_holds_nothing():
    queue = TimerQueue()
    gc.disable()
    held = Held()
    reference = weakref.ref(held)
    queue.add(10, print, held).cancel()
    del held
    gc.enable()
    assert reference() is None and queue.pop_due(10) is None


def test_heap_stays_in_proportion_to_the_timers_set():
    queue = TimerQueue()
    kept = [queue.add(1_000_000, print) for _ in range(10)]
    for number in range(10_000):
        queue.add(1_000 + number, print).cancel()
        assert len(queue._heap) <= 2 * len(kept) + 2 * MIN_REMOVED
    assert len(queue) == len(kept)


def test_timer_that_fires_may_cancel_others():
    queue = TimerQueue()
    others = [queue.add(5, print) for _ in range(3 * MIN_REMOVED)]
    first = queue.add(1, print)
    assert queue.pop_due(5) is first
    for other in others:
        other.cancel()
    assert queue.pop_due(5) is None and not len(queue)
