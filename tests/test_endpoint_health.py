"""Which endpoints get nothing: draining, rejecting and failing ones."""

from helpers import dispatcher, operation, pull, rows

from grebedyke.model.actions import Forward
from grebedyke.model.outcome import Effect, Outcome


def test_nothing_new_to_a_draining_or_absent_executor():
    """Discovery drains or removes an executor: what were sent there from then on would be cut off."""
    for change in ((False, rows(1, state="draining")), (False, rows(1, state="gone")), (True, rows(2))):
        d = dispatcher()
        d.listed(10, True, rows(1, 2))
        d.listed(20, *change)
        for i in range(8):
            d.taken(30, i, "op", None, 50_000, 1_000, 1)
        assert {x.endpoint_id for x in pull(d, 30, Forward)} == {2}


def test_a_rejection_keeps_the_operation_away_for_a_second():
    """The one executor rejects a request: asked again at once it would only reject it again."""
    d = dispatcher()
    d.listed(10, True, rows(1))
    d.taken(10, 5, "op", None, 50_000, 30_000, 1)
    pull(d, 10)
    d.ended(20, 5, 0, Outcome.REJECTED, False)
    assert pull(d, 20) == [] and pull(d, 10_000) == []
    assert [type(x) for x in pull(d, 10_030)] == [Forward]


def test_an_executor_that_rejects_one_operation_gets_the_others():
    """A partial fault makes an executor reject one operation: it must not be left out for all of them."""
    d = dispatcher()
    d.context.settings.operations["other"] = operation("other")
    d.listed(10, True, rows(1))
    d.taken(10, 5, "op", None, 50_000, 1_000, 1)
    pull(d, 10)
    d.ended(20, 5, 0, Outcome.REJECTED, True)
    d.taken(20, 6, "op", None, 50_020, 1_000, 1)
    d.taken(20, 7, "other", None, 50_020, 1_000, 1)
    assert [x.request_id for x in pull(d, 20, Forward)] == [7]
    d.started(30, 7, 0)
    # All turned away: it is full indeed.
    for now, op, credit in ((11_000, "op", 3.0), (11_010, "other", 1.0)):
        d.endpoints.by_id[1].credit = 3.0
        d.taken(now, now, op, None, now + 50_000, 1_000, 1)
        pull(d, now)
        d.ended(now, now, 0, Outcome.REJECTED, True)
        assert d.endpoints.by_id[1].credit == credit


def test_a_reset_between_answers_does_not_eject_an_executor():
    """A few connections break: were executors ejected for each, a node would soon have none."""
    for outcomes, off in (
        ((Outcome.CONNECTION_RESET,), False),
        ((Outcome.CONNECTION_RESET, "ok", Outcome.CONNECTION_RESET), False),
        ((Outcome.CONNECTION_RESET, Outcome.CONNECTION_RESET), True),
        ((Outcome.FAILED,), True),
    ):
        d = dispatcher()
        d.listed(10, True, rows(1))
        for i, outcome in enumerate(outcomes):
            now = 1_000 + 20_000 * i
            d.taken(now, i, "op", None, now + 49_000, 1_000, 1)
            assert len(pull(d, now, Forward)) == 1
            d.ended(now + 50, i, 0, outcome, True)
        e = d.endpoints.by_id[1]
        assert (e.ejected_until > now + 50) == off == (e.credit == 1.0), outcomes


def test_an_executor_that_errors_at_once_draws_no_more_work():
    """An executor fails each job at once: its slots are always the first to be free (a black hole)."""
    d = dispatcher(Effect.NON_IDEMPOTENT)
    sent = 0
    d.listed(10, True, rows(1))
    for i in range(100):
        d.taken(10 + 200 * i, i, "op", None, 90_000, 1_000, 1)
        for id, _, _ in pull(d, 10 + 200 * i, Forward):
            sent += 1
            d.started(20 + 200 * i, id, 0)
            d.ended(30 + 200 * i, id, 0, Outcome.FAILED, False)
    assert sent <= 5
