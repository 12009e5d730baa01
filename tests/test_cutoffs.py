"""Cancelling attempts at their cutoff, and the search for cutoffs."""

import random
from math import inf, isclose, log

from helpers import dispatcher, rows, take_actions

from grebedyke.model.actions import Cancel, Forward
from grebedyke.model.outcome import Outcome
from grebedyke.policy import bounded_pareto
from grebedyke.policy.bounded_pareto import BoundedPareto
from grebedyke.policy.wait_model import Tier, Workload, mean_wait


def test_trial_cancels_are_few_until_their_effect_is_known():
    """If cancellations free no slots, cancelling without restriction would waste a whole refit interval."""
    node = dispatcher()
    node.endpoints_changed(10, True, rows(1, 2))
    node.cutoffs.in_force, node.cutoffs.next_fit = [500], 10**9
    for endpoint in node.endpoints.healthy:
        endpoint.credit = 40.0
    for i in range(40):
        node.request_arrived(10, i, "op", None, 90_000, 1_000, 1)
    sent = take_actions(node, 10, Forward)
    for id, *_ in sent[:20]:
        node.attempt_started(20, id, 0)
    assert 0 < len(take_actions(node, 700, Cancel)) <= 4


def test_a_job_past_its_cutoff_restarts_only_after_the_cancelled_outcome():
    """If a job were restarted while its first attempt may still run, both would occupy slots."""
    node = dispatcher()
    node.endpoints_changed(10, True, rows(1, 2, 3, 4))
    node.cutoffs.in_force, node.cutoffs.slots_freed, node.cutoffs.next_fit = [500], 9, 10**9
    node.endpoints.assign_tiers(0.5)
    lower_tier = {endpoint.id for endpoint in node.endpoints.healthy if endpoint.tier == 0}
    node.request_arrived(10, 5, "op", None, 50_000, 1_000, 1)
    first = take_actions(node, 10, Forward)[0].endpoint_id
    assert first in lower_tier
    node.attempt_started(20, 5, 0)
    assert take_actions(node, 500) == []
    cancels = take_actions(node, 530)
    assert cancels == [Cancel(5, 0)] and isinstance(cancels[0], Cancel)
    assert take_actions(node, 600) == []
    node.attempt_ended(610, 5, 0, Outcome.CANCELLED, False)
    retries = take_actions(node, 610, Forward)
    assert len(retries) == 1 and retries[0][2] not in lower_tier and node.cutoffs.censored_sizes


def test_mean_wait_matches_values_computed_by_hand():
    for a in (1.0, 2.0):  # the logarithmic forms are the limits of the power forms
        for j in (1, 2):
            below, above = BoundedPareto(1, 100, a - 1e-4), BoundedPareto(1, 100, a + 1e-4)
            near = (below.partial_moment(j, 1, 100) + above.partial_moment(j, 1, 100)) / 2
            assert isclose(BoundedPareto(1, 100, a).partial_moment(j, 1, 100), near, rel_tol=1e-3)
    sizes = BoundedPareto(1, 100, 1.0)
    assert isclose(sizes.partial_moment(1, 1, 100), log(100) / 0.99)
    # One worker, B(1, 100, 1), load 1/2: W = lambda E[X^2] / (2 (1 - 1/2)) with E[X^2] = 100.
    rate = 0.5 * 0.99 / log(100)
    workload, single, double = Workload(rate), [Tier(1, 1.0)], [Tier(1, 1.0), Tier(1, 1.0)]
    assert isclose(mean_wait(sizes, [], single, workload), rate * 100, rel_tol=1e-9)
    # Cutoff 10: tier 1 has E = (ln 10 + .9)/.99, E2 = (9 + 9)/.99; tier 2 gets 0.09/0.99 of the jobs.
    one, two, up = (log(10) + 0.9) / 0.99, 18 / 0.99, 0.09 / 0.99
    wait1 = rate * two / 2 / (1 - rate * one)
    wait2 = rate * 90 / 0.99 / 2 / (1 - rate * log(10) / 0.99)
    wanted = wait1 * (1 - up) + (wait1 + 10 + wait2) * up
    assert isclose(mean_wait(sizes, [10], double, workload), wanted, rel_tol=1e-9)
    assert mean_wait(sizes, [], single, Workload(rate * 2.1)) == inf
    wait_if_ineffective = mean_wait(sizes, [10], double, Workload(rate, ineffective_cancels=1.0))
    assert wait_if_ineffective > wanted  # cancellations that free no slot increase the wait


def test_fit_recovers_the_distribution_with_and_without_censoring():
    for alpha in (0.6, 1.0, 1.4):
        chance = random.Random(5)
        sizes = [(1 - chance.random() * (1 - 1000**-alpha)) ** (-1 / alpha) for _ in range(3000)]
        assert abs(bounded_pareto.fit(sizes).shape - alpha) < 0.1
        below = [x for x in sizes if x <= 300] + [1000.0]
        assert abs(bounded_pareto.fit(below, [300] * (len(sizes) - len(below))).shape - alpha) < 0.1


def test_search_stays_within_bounds_and_drops_cutoffs_if_cancels_free_no_slots():
    """If cancellations free no slots, cutoffs waste work and the search must choose random assignment."""
    for ineffective_count in (0, 50):
        node = dispatcher()
        node.endpoints_changed(10, True, rows(*range(1, 9)))
        cutoffs, chance = node.cutoffs, random.Random(3)
        cutoffs.finished_sizes = [100 / (1 - chance.random() * 0.999) ** 1.0 for _ in range(400)]
        cutoffs.slots_not_freed, cutoffs.non_restartable_share = ineffective_count, 0.0
        for _ in range(300):
            cutoffs.arrivals.add(99_000)
        cutoffs.step(10, node.endpoints)
        for now in range(100_010, 100_400):
            cutoffs.step(now, node.endpoints)
            assert all(
                cutoffs.distribution.smallest <= candidate[0] <= cutoffs.distribution.largest
                for candidate in cutoffs.population
            )
        assert (cutoffs.in_force is None) == bool(ineffective_count), cutoffs.summary
