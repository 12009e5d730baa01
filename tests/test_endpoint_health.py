"""Endpoints that get no attempts: draining, rejecting and failing ones."""

from helpers import dispatcher, operation, rows, take_actions

from grebedyke.model.actions import Forward
from grebedyke.model.outcome import Idempotency, Outcome


def test_a_draining_or_unlisted_executor_gets_no_new_attempts():
    """An attempt sent to an executor after discovery drains or removes it would be interrupted."""
    for change in ((False, rows(1, state="draining")), (False, rows(1, state="gone")), (True, rows(2))):
        node = dispatcher()
        node.endpoints_changed(10, True, rows(1, 2))
        node.endpoints_changed(20, *change)
        for i in range(8):
            node.request_arrived(30, i, "op", None, 50_000, 1_000, 1)
        assert {x.endpoint_id for x in take_actions(node, 30, Forward)} == {2}


def test_a_rejection_excludes_the_operation_for_a_second():
    """An executor that has just rejected a request would reject an immediate retry as well."""
    node = dispatcher()
    node.endpoints_changed(10, True, rows(1))
    node.request_arrived(10, 5, "op", None, 50_000, 30_000, 1)
    take_actions(node, 10)
    node.attempt_ended(20, 5, 0, Outcome.REJECTED, False)
    assert take_actions(node, 20) == [] and take_actions(node, 10_000) == []
    assert [type(x) for x in take_actions(node, 10_030)] == [Forward]


def test_an_executor_that_rejects_one_operation_gets_the_others():
    """An executor that rejects one operation because of a partial fault must still get the others."""
    node = dispatcher()
    node.context.settings.operations["other"] = operation("other")
    node.endpoints_changed(10, True, rows(1))
    node.request_arrived(10, 5, "op", None, 50_000, 1_000, 1)
    take_actions(node, 10)
    node.attempt_ended(20, 5, 0, Outcome.REJECTED, True)
    node.request_arrived(20, 6, "op", None, 50_020, 1_000, 1)
    node.request_arrived(20, 7, "other", None, 50_020, 1_000, 1)
    assert [x.request_id for x in take_actions(node, 20, Forward)] == [7]
    node.attempt_started(30, 7, 0)
    # It rejects all operations, so it is full.
    for now, op, credit in ((11_000, "op", 3.0), (11_010, "other", 1.0)):
        node.endpoints.by_id[1].credit = 3.0
        node.request_arrived(now, now, op, None, now + 50_000, 1_000, 1)
        take_actions(node, now)
        node.attempt_ended(now, now, 0, Outcome.REJECTED, True)
        assert node.endpoints.by_id[1].credit == credit


def test_a_reset_between_answers_does_not_eject_an_executor():
    """If each broken connection ejected its executor, a node would soon have none left."""
    for outcomes, is_ejected in (
        ((Outcome.CONNECTION_RESET,), False),
        ((Outcome.CONNECTION_RESET, "ok", Outcome.CONNECTION_RESET), False),
        ((Outcome.CONNECTION_RESET, Outcome.CONNECTION_RESET), True),
        ((Outcome.FAILED,), True),
    ):
        node = dispatcher()
        node.endpoints_changed(10, True, rows(1))
        for i, outcome in enumerate(outcomes):
            now = 1_000 + 20_000 * i
            node.request_arrived(now, i, "op", None, now + 49_000, 1_000, 1)
            assert len(take_actions(node, now, Forward)) == 1
            node.attempt_ended(now + 50, i, 0, outcome, True)
        endpoint = node.endpoints.by_id[1]
        assert (endpoint.ejected_until > now + 50) == is_ejected == (endpoint.credit == 1.0), outcomes


def test_an_executor_that_fails_jobs_at_once_attracts_no_more_work():
    """An executor that fails each job at once always has free slots and attracts traffic (black hole)."""
    node = dispatcher(Idempotency.NON_IDEMPOTENT)
    sent = 0
    node.endpoints_changed(10, True, rows(1))
    for i in range(100):
        node.request_arrived(10 + 200 * i, i, "op", None, 90_000, 1_000, 1)
        for id, *_ in take_actions(node, 10 + 200 * i, Forward):
            sent += 1
            node.attempt_started(20 + 200 * i, id, 0)
            node.attempt_ended(30 + 200 * i, id, 0, Outcome.FAILED, False)
    assert sent <= 5
