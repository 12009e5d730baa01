"""How many attempts a node may have in flight at an endpoint."""

from math import isclose
from types import SimpleNamespace

from helpers import dispatcher, pull, rows

from grebedyke.model.actions import Forward
from grebedyke.model.outcome import Outcome


def test_waiting_own_work_takes_credit_away():
    """An executor does not start what it has: more work would pile up there."""
    node = dispatcher()
    node.listed(10, True, rows(1))
    node.taken(10, 5, "op", None, 50_000, 1_000, 1)
    assert len(pull(node, 10, Forward)) == 1
    node.taken(1_000, 6, "op", None, 50_000, 1_000, 1)
    assert pull(node, 1_000, Forward) == []
    node.started(1_100, 5, 0)
    assert len(pull(node, 1_100, Forward)) == 1


def test_late_starts_cost_credit_and_then_a_rest():
    """Many nodes send to an executor of few slots and keep a queue there: each has to send less than one."""
    for late, under in ((300, False), (2_000, True)):
        node = dispatcher()
        node.listed(10, True, rows(1))
        for i, wait in enumerate((10, late, late)):
            now = 1_000 + 6_000 * i
            node.taken(now, i, "op", None, now + 49_000, 1_000, 1)
            assert len(pull(node, now, Forward)) == 1
            node.started(now + wait, i, 0)
            node.ended(now + wait + 500, i, 0, "ok", True)
        endpoint = node.endpoints.by_id[1]
        assert (endpoint.credit < 1) == under and (endpoint.ejected_until > now + wait) == under
        # A start 3 s late, as at the end of a hang, at little credit was a rest of half a minute.
        attempt = SimpleNamespace(
            sent_at=now - 30_000,
            opened_connection=False,
            expected_wait=0,
            had_free_slot=None,
            endpoint_load=1,
        )
        endpoint.ejected_until, endpoint.credit = 0, 0.1
        node.endpoints.on_start(endpoint, now, attempt, 30_000)
        assert 0 < endpoint.ejected_until <= now + 2_500


def test_opening_a_connection_is_no_wait_at_the_executor():
    """Connections to a far executor take long to open: taken for waits, they would cost it all its credit."""
    for opened, under in ((True, False), (False, True)):
        node = dispatcher()
        node.listed(10, True, rows(1))
        for i in range(8):
            now = 1_000 + 6_000 * i
            node.taken(now, i, "op", None, now + 49_000, 1_000, 1)
            assert len(pull(node, now, Forward)) == 1
            node.started(now + (1_000 if i % 2 else 10), i, 0, opened and i % 2 == 1)
            node.ended(now + 2_000, i, 0, "ok", True)
            node.endpoints.by_id[1].ejected_until = 0
        assert (node.endpoints.by_id[1].credit < 1) == under


def test_without_start_notices_work_does_not_pass_for_waiting():
    """Nothing shows that a job has begun: taken for waiting, it would hold all further work back."""
    node = dispatcher()
    settings = node.context.settings
    capabilities = settings.capabilities._replace(start_notices=False)
    node.context.settings = settings._replace(capabilities=capabilities)
    node.listed(10, True, rows(1))
    for i, now in enumerate((10, 1_000)):
        node.taken(now, i, "op", None, 50_000, 1_000, 1)
        assert len(pull(node, now, Forward)) == 1


def test_without_start_notices_credit_is_the_slots_that_reports_show_free():
    """No start earns credit there, so half of the slots would stay empty."""
    node = dispatcher(starts=False, split=1)
    node.listed(10, True, rows(1, 2))
    for now, free, credit in ((1_000, 3.9, 4), (2_000, 0.2, 4), (3_000, None, 4)):
        node.taken(now, now, "op", None, now + 50_000, 1_000, 1)
        ((id, endpoint, _),) = pull(node, now, Forward)
        node.ended(now + 500, id, 0, Outcome.SUCCEEDED, True, free)
        assert node.endpoints.by_id[endpoint].credit == credit or free is None
    node.listed(4_000, True, rows(1))
    # A full book that reports belie, and one that they bear out.
    for free, credit in ((1.0, 6.0), (0.0, 4.0)):
        for now in range(5_000, 605_000, 10_000):
            node.taken(now, now, "op", None, now + 50_000, 1_000, 1)
            ((id, endpoint, _),) = pull(node, now, Forward)
            node.endpoints.by_id[endpoint].slots_in_use = 20
            node.ended(now + 500, id, 0, Outcome.SUCCEEDED, True, free)
            node.endpoints.by_id[endpoint].slots_in_use = 0
        assert (
            abs(node.endpoints.by_id[endpoint].credit - credit) <= 1
            and node.endpoints.by_id[endpoint].credit >= 4
        )


def test_a_late_start_costs_no_credit_for_what_runs_there():
    """One attempt too many cut credit to under half.

    Then most slots of the executor stood idle until a long job had ended.
    """
    for running, credit in ((4, 4.0), (2, 2.4), (0, 2.4)):
        node = dispatcher()
        node.listed(10, True, rows("a"))
        endpoint = node.endpoints.by_id["a"]
        endpoint.credit, endpoint.start_floors[False] = 6.0, 20
        for n in range(running + 1):
            node.taken(20, n, "op", None, 40_000, 500, 1)
        assert len(pull(node, 20, Forward)) == running + 1
        for n in range(running):
            node.started(40, n, 0)
        endpoint.credit = 6.0
        node.started(40 + 5_000, running, 0)
        assert isclose(endpoint.credit, credit), (running, endpoint.credit)
