"""Batches of the event loop, and the metrics that they feed."""

from socketless_node import FakeEventLoop

from grebedyke.service.batch_loop import BatchLoop
from grebedyke.service.metrics import Metrics


def test_what_a_batch_gives_rise_to_waits_for_the_next():
    loop = FakeEventLoop()
    batch = BatchLoop(loop, Metrics())
    seen = []
    actions = ["a", None, "b", None]
    batch.next_action = lambda now: actions.pop(0) if actions else None

    def carry_out(now, action):
        seen.append(action)
        batch.enqueue(lambda now: seen.append("event"))

    batch.carry_out = carry_out
    batch.enqueue(lambda now: seen.append("first"))
    batch.enqueue(lambda now: seen.append("second"))
    loop.ready.pop(0)()
    assert seen == ["first", "second", "a"] and len(loop.ready) == 1
    loop.run_ready()
    assert seen == ["first", "second", "a", "event", "b", "event"]


def test_timers_fire_in_order_after_the_events():
    """After a stall both the end of an attempt and its timeout are due.

    The end is here already, so it goes before the timeout, which would discard it.
    """
    loop = FakeEventLoop()
    batch = BatchLoop(loop, Metrics())
    seen = []
    batch.next_action = lambda now: None
    for when in (3, 1, 2):
        batch.call_at(when, lambda now, when=when: seen.append(when))
    batch.enqueue(lambda now: seen.append("event"))
    loop.run_ready()
    assert seen == ["event", 1, 2, 3]


def test_the_log_has_the_first_few_of_what_a_bad_peer_does():
    """A peer goes on sending what is not understood, and a line for each would fill the log."""
    metrics = Metrics()
    allowed = [metrics.count_and_may_log("odd") for _ in range(7)]
    assert allowed == [True] * 5 + [False] * 2
    assert metrics.counts["odd"] == 7
    metrics.report()
    assert metrics.count_and_may_log("odd")
