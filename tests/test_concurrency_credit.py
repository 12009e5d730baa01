"""Concurrency credit: the slots that a node may have in use at an endpoint."""

from math import isclose
from types import SimpleNamespace

from helpers import dispatcher, rows, take_actions

from grebedyke.model.actions import Forward
from grebedyke.model.outcome import Outcome


def test_no_attempt_is_sent_while_an_earlier_one_waits_too_long():
    """While an executor does not start its attempts, further ones would only queue there."""
    node = dispatcher()
    node.endpoints_changed(10, True, rows(1))
    node.request_arrived(10, 5, "op", None, 50_000, 1_000, 1)
    assert len(take_actions(node, 10, Forward)) == 1
    node.request_arrived(1_000, 6, "op", None, 50_000, 1_000, 1)
    assert take_actions(node, 1_000, Forward) == []
    node.attempt_started(1_100, 5, 0)
    assert len(take_actions(node, 1_100, Forward)) == 1


def test_late_starts_reduce_credit_and_then_cause_a_pause():
    """Many nodes that share an executor of few slots each need a credit below one to avoid a queue."""
    for late, is_below_one in ((300, False), (2_000, True)):
        node = dispatcher()
        node.endpoints_changed(10, True, rows(1))
        for i, wait in enumerate((10, late, late)):
            now = 1_000 + 6_000 * i
            node.request_arrived(now, i, "op", None, now + 49_000, 1_000, 1)
            assert len(take_actions(node, now, Forward)) == 1
            node.attempt_started(now + wait, i, 0)
            node.attempt_ended(now + wait + 500, i, 0, "ok", True)
        endpoint = node.endpoints.by_id[1]
        assert (endpoint.credit < 1) == is_below_one and (endpoint.ejected_until > now + wait) == is_below_one
        # At a low credit, a start 3 s late because of a hang caused a pause of half a minute.
        attempt = SimpleNamespace(
            sent_at=now - 30_000,
            opened_connection=False,
            expected_wait=0,
            had_free_slot=None,
            slots_in_use_at_send=1,
        )
        endpoint.ejected_until, endpoint.credit = 0, 0.1
        node.endpoints.on_start(endpoint, now, attempt, 30_000)
        assert 0 < endpoint.ejected_until <= now + 2_500


def test_opening_a_connection_does_not_count_as_a_wait():
    """Opening a connection to a distant executor takes long; counted as a wait it would cost all credit."""
    for opened, is_below_one in ((True, False), (False, True)):
        node = dispatcher()
        node.endpoints_changed(10, True, rows(1))
        for i in range(8):
            now = 1_000 + 6_000 * i
            node.request_arrived(now, i, "op", None, now + 49_000, 1_000, 1)
            assert len(take_actions(node, now, Forward)) == 1
            node.attempt_started(now + (1_000 if i % 2 else 10), i, 0, opened and i % 2 == 1)
            node.attempt_ended(now + 2_000, i, 0, "ok", True)
            node.endpoints.by_id[1].ejected_until = 0
        assert (node.endpoints.by_id[1].credit < 1) == is_below_one


def test_without_start_notices_attempts_do_not_count_as_waiting():
    """Without start notices, an attempt counted as waiting would block all further attempts."""
    node = dispatcher()
    settings = node.context.settings
    capabilities = settings.capabilities._replace(start_notices=False)
    node.context.settings = settings._replace(capabilities=capabilities)
    node.endpoints_changed(10, True, rows(1))
    for i, now in enumerate((10, 1_000)):
        node.request_arrived(now, i, "op", None, 50_000, 1_000, 1)
        assert len(take_actions(node, now, Forward)) == 1


def test_without_start_notices_credit_follows_the_reported_free_slots():
    """No start notice increases the credit there, so half of the slots would stay idle."""
    node = dispatcher(start_notices=False, groups_per_zone=1)
    node.endpoints_changed(10, True, rows(1, 2))
    for now, free, credit in ((1_000, 3.9, 4), (2_000, 0.2, 4), (3_000, None, 4)):
        node.request_arrived(now, now, "op", None, now + 50_000, 1_000, 1)
        ((id, endpoint, *_),) = take_actions(node, now, Forward)
        node.attempt_ended(now + 500, id, 0, Outcome.SUCCEEDED, True, free)
        assert node.endpoints.by_id[endpoint].credit == credit or free is None
    node.endpoints_changed(4_000, True, rows(1))
    # All credit is in use; reports show one free slot in the first case and none in the second.
    for free, credit in ((1.0, 6.0), (0.0, 4.0)):
        for now in range(5_000, 605_000, 10_000):
            node.request_arrived(now, now, "op", None, now + 50_000, 1_000, 1)
            ((id, endpoint, *_),) = take_actions(node, now, Forward)
            node.endpoints.by_id[endpoint].slots_in_use = 20
            node.attempt_ended(now + 500, id, 0, Outcome.SUCCEEDED, True, free)
            node.endpoints.by_id[endpoint].slots_in_use = 0
        assert (
            abs(node.endpoints.by_id[endpoint].credit - credit) <= 1
            and node.endpoints.by_id[endpoint].credit >= 4
        )


def test_a_late_start_does_not_reduce_credit_below_running_attempts():
    """A single late start reduced the credit to less than half.

    Most slots of the executor then stayed idle until a long job ended.
    """
    for running, credit in ((4, 4.0), (2, 2.4), (0, 2.4)):
        node = dispatcher()
        node.endpoints_changed(10, True, rows("a"))
        endpoint = node.endpoints.by_id["a"]
        endpoint.credit, endpoint.start_floors[False] = 6.0, 20
        for n in range(running + 1):
            node.request_arrived(20, n, "op", None, 40_000, 500, 1)
        assert len(take_actions(node, 20, Forward)) == running + 1
        for n in range(running):
            node.attempt_started(40, n, 0)
        endpoint.credit = 6.0
        node.attempt_started(40 + 5_000, running, 0)
        assert isclose(endpoint.credit, credit), (running, endpoint.credit)
