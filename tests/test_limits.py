"""Limits of the whole fleet: drawn rounds in simulated time, broken builds, cases by hand, real processes."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from helpers import dispatcher, pull, rows

from grebedyke.commands.main import cli
from grebedyke.errors import ConfigurationError
from grebedyke.load import shape
from grebedyke.load.clients import Clients
from grebedyke.model.actions import Forward, Throttle
from grebedyke.model.outcome import Effect, Outcome
from grebedyke.rate_limits import allocation, limiter
from grebedyke.rate_limits.component import RateLimits
from grebedyke.rate_limits.definitions import OPEN, RATE, Limit
from grebedyke.rig import broken, limited, rounds
from grebedyke.rig.fleet import Rig
from grebedyke.rig.judge import Judge

SHAPES = [
    {},
    {"faults": 4, "kinds": ("cut", "stop", "stalled")},
    {"nodes": 7, "voters": 5, "faults": 2},
    {"faults": 4, "kinds": ("kill", "all killed", "stop", "cut"), "drift": 0.2},
]


@pytest.mark.parametrize("seed", range(12))
def test_no_drawn_round_lets_more_through_than_the_limits(seed):
    found, world = limited.play(seed, **SHAPES[seed % len(SHAPES)])
    assert not found
    assert world.done["went through"] > 1_000 and any(world.done[kind] for kind in limited.LIMIT_FAULTS)


# Where a drawn round shows it: the shape, and a seed.
CAUGHT = {
    "floors are not counted": (0, 0),
    "a new holder does not wait": (1, 1),
    "a grant that comes again is added": (0, 0),
    "a shrunk limit is not withdrawn": (0, 1),
    "what a dead node sent is taken as ended": (1, 0),
}


def test_broken_builds_are_caught_by_drawn_rounds():
    for name, (which, first) in CAUGHT.items():
        with broken.build(name):
            found = (limited.play(seed, **SHAPES[which])[0] for seed in range(first, first + 4))
            assert any(clause != "the limit is used" for some in found for _, clause, _ in some), name


def part(process=7, limits=(Limit("l", RATE, 10_000, 10, 0, None, None, False),), drift=0.02, value=None):
    """One node's part, its holder named by `value`."""
    agreement = SimpleNamespace(
        keys=[],
        followers=[],
        members=[0],
        value=lambda key: value,
        votes=lambda: False,
        voter=SimpleNamespace(epoch=1),
    )
    one = RateLimits(agreement, 1, 4, process, limits, 10_000, drift, 5_000, 0)
    one.recalled(0, {})
    return one


def asked(one, now):
    while (decision := one.decide(now)) is not None:
        if decision[0] == "send" and decision[2][0] == "s":
            return decision[2][1]


def lease_ends_by_the_ask():
    one = part(value={"term": 3, "node": 0, "process": 9})
    number, id = asked(one, 100), one.limits[0].id()
    one.heard(8_000, 0, ["S", number, 3, False, [[id, 4_000]]])
    meter = one.gate.meters[id]
    return meter.held(10_099) == 4_000 and meter.held(10_100) == 0


def holder_outlasts_all_clocks():
    for drift in (0.02, 0.2):
        one, slow, fast = part(drift=drift), 1 - drift / 2, 1 + drift / 2
        if one.ends() / fast < one.lease / slow or one.wait() / fast < 2 * one.lease / slow:
            return False
    return True


def a_restart_brings_no_burst():
    bucket = limiter.Bucket(Limit("l", RATE, 8_000, 80, 1_000, None, None, False), 4, 0.02, 0, 800, 50)
    return not bucket.room(60)


def a_former_lifes_slots_are_waited_out():
    slots = limiter.Slots(Limit("l", OPEN, 8, 0, 1, None, None, False), 4, 0.02, 500, 800, 1_000)
    return not slots.room(1_500) and slots.room(1_530)


def what_may_have_been_received_counts():
    """Three asks of one process, whose answers may all be under way (100, 55, 55); then another one's."""
    book = allocation.Books(RATE, 100, 0, 1, 1_000, 0)
    book.hear(0, "a", 0, 100, 0)
    book.hear(0, "b", 0, 0, 0)
    first = book.grant(0, "a", 1)
    for now in (10, 20):
        book.hear(now, "a", 0, 10, 0)
        book.grant(now, "a", now)
    book.hear(30, "b", 0, 90, 0)
    before = book.grant(30, "b", 2)
    # Only once it is known which one that process holds.
    book.hear(40, "a", 20, 10, 0)
    return first == 100 and before == 0 and book.grant(50, "b", 3) == 45


def a_holder_needs_its_place():
    value = {"term": 3, "node": 1, "process": 7}
    one, id = part(value=value), Limit("l", RATE, 10_000, 10, 0, None, None, False).id()
    one.learned(0, "holder", value)
    answers = []
    for now, until in ((50_000, 60_000), (50_000, 40_000)):
        one.until = until
        one.out.clear()
        one.heard(now, 2, ["s", 1, 3, 9, 0, 0, [[id, 5_000, 0]], []])
        answers.append([d for d in one.out if d[0] == "send" and d[2][0] == "S"])
    return len(answers[0]) == 1 and answers[0][0][2][4] == [[id, 10_000]] and not answers[1]


BY_HAND = {
    "the newest grant is taken as received": what_may_have_been_received_counts,
    "a holder whose place has ended grants on": a_holder_needs_its_place,
    "a share is reckoned from the answer": lease_ends_by_the_ask,
    "no drift in shares": holder_outlasts_all_clocks,
    "a bucket begins full": a_restart_brings_no_burst,
    "a node's own slots are used from its first moment": a_former_lifes_slots_are_waited_out,
}


def test_broken_builds_are_caught_by_hand():
    assert {*CAUGHT} | {*BY_HAND} == {*broken.LIMITS}
    for name, holds in BY_HAND.items():
        assert holds(), name
        with broken.build(name):
            assert not holds(), name


def test_words_that_are_late_doubled_or_of_another_holder():
    value = {"term": 3, "node": 0, "process": 9}
    one, id = part(value=value), Limit("l", RATE, 10_000, 10, 0, None, None, False).id()
    first = asked(one, 100)
    second = asked(one, 4_000)
    meter = one.gate.meters[id]
    one.heard(4_100, 0, ["S", second, 3, False, [[id, 2_000]]])
    for odd in (
        ["S", first, 3, False, [[id, 9_000]]],
        ["S", second, 3, False, [[id, 9_000]]],
        ["S", second, 2, False, [[id, 9_000]]],
        ["S", second, 4, False, [[id, 9_000]]],
        ["S"],
        ["S", "x", 3, False, 5],
        ["s", 1],
        ["t"],
        ["T", None, 1, 2, 3],
    ):
        one.heard(4_200, 0, odd)
    assert meter.held(4_300) == 2_000 and one.odd == 4
    # What a later build adds is left alone; an old share tells its age, long after its ask is forgotten.
    third = asked(one, 8_000)
    one.heard(8_100, 0, ["S", third, 3, False, [[id, 3_000]], "more"])
    assert meter.held(8_200) == 3_000 and one.odd == 4
    asked(one, 90_000)
    assert one.state(100_000)["asked_ms_ago"] == 9_200


def first_of(d, now):
    """The first forward or throttle: its type and its request."""
    first = pull(d, now, Forward, Throttle)[0]
    return type(first), first.request_id


def throttled(d, now):
    """All throttles, where nothing is forwarded."""
    found = pull(d, now, Forward, Throttle)
    assert all(isinstance(x, Throttle) for x in found)
    return found


def test_what_is_over_is_throttled_at_once_and_a_slot_outlasts_its_client():
    d = dispatcher(effect=Effect.IDEMPOTENT, back=20_000)
    d.listed(10, True, rows("e1", "e2"))
    limits = [Limit("pay", OPEN, 1, 0, 1, None, "op", False)]
    d.quotas.limits = limiter.Gate(limits, 1, 0.0, 0, 8_000, -100_000)
    d.taken(100, "first", "op", "t", 50_000, 0, 1)
    assert first_of(d, 100) == (Forward, "first")
    d.taken(200, "second", "op", "t", 50_000, 0, 1)
    assert throttled(d, 200) == [Throttle("second", 2_500)]
    # Its client leaves; the work goes on, and so does its slot.
    d.left(300, "first")
    d.taken(400, "third", "op", "t", 50_000, 0, 1)
    assert throttled(d, 400) == [Throttle("third", 2_500)]
    d.ended(500, "first", 0, Outcome.SUCCEEDED, True)
    d.taken(600, "fourth", "op", "t", 50_000, 0, 1)
    assert first_of(d, 600) == (Forward, "fourth")
    # Further forwards have a limit of their own: without one left an invocation is given up at once.
    again = Limit("again", RATE, 1_000, 1, 1_000, None, "op", False, True)
    d.quotas.limits = limiter.Gate([again], 1, 0.0, 0, 8_000, 0)
    d.taken(20_000, "fifth", "op", "t", 70_000, 0, 1)
    for now, n in ((20_000, 0), (20_100, 1)):
        assert first_of(d, now) == (Forward, "fifth")
        d.ended(now + 50, "fifth", n, Outcome.NEVER_SENT, False)
    assert first_of(d, 20_200) == (Throttle, "fifth")
    # A soft one only marks what is over: it comes behind the rest.
    d.quotas.limits = limiter.Gate([limits[0]._replace(soft=True, size=1)], 1, 0.0, 0, 8_000, -100_000)
    soft = [d.taken(700 + i, f"soft{i}", "op", "t", 50_000, 0, 1).over_quota for i in range(2)]
    assert soft == [False, True]


FLEET = {"name": "f", "folder": "/tmp/none", "voters": [0]}
ROW = {"name": "a", "rate": 10, "burst": 3}


@pytest.mark.parametrize(
    "limits, words",
    [
        ([{**ROW, "rate": -1}], "limits[0].rate is out of its range"),
        ([{**ROW, "burst": 2}], "limits[0].burst is under one for each of 3 nodes"),
        ([{**ROW, "burst": None}], "limits[0].burst is missing"),
        ([{"name": "a"}], "limits[0].rate or underWay has to be there"),
        ([{**ROW, "underWay": 3}], "limits[0].rate or underWay has to be there"),
        ([{"name": "a", "underWay": 9, "burst": 3}], "limits[0].burst is nothing to a limit"),
        ([{"name": "a", "underWay": 9, "floor": 0.5}], "limits[0].floor is no whole number"),
        ([ROW, ROW], "limits[1].name stands twice"),
        ([ROW, {**ROW, "name": "b"}], "limits[1].name is the same limit as 'a'"),
        ([{**ROW, "further": True, "soft": True}], "limits[0].soft is nothing here"),
        ([{"name": "a", "underWay": 3, "further": True}], "limits[0].underWay is nothing here"),
        ([{**ROW, "floor": 4}], "limits[0].floor of 3 nodes is more than the limit"),
        ([{**ROW, "tenant": "nobody"}], "limits[0].tenant does not exist"),
        ([{**ROW, "operation": "nothing"}], "limits[0].operation does not exist"),
    ],
)
def test_faulty_limits_are_refused_by_key(limits, words):
    from grebedyke.checks import checked
    from grebedyke.rate_limits import settings

    with pytest.raises(ConfigurationError) as problem:
        said = checked(settings.SECTION, {"limits": limits}, "shares.")
        settings.check(said, FLEET, 3, ["hold"], ["t"], 200)
    assert words in str(problem.value)


def test_limits_bind_a_fleet_of_processes_whose_holder_dies():
    limits = [
        {"name": "t", "rate": 30, "burst": 15, "tenant": "t", "floor": 1},
        {"name": "pay", "underWay": 4, "operation": "confirm"},
    ]

    async def story():
        rig = Rig(rounds.OPERATIONS, 3, 6, seed=77, shares=limits)

        async def holder():
            while True:
                for name in rig.nodes:
                    status, told = await rig.call(name, "GET", "/v1/limits", wait=1.0)
                    if status == 200 and json.loads(told)["holds"]:
                        return name, json.loads(told)["term"]
                await asyncio.sleep(0.05)

        try:
            await rig.start()
            first, term = await holder()
            clients = Clients(rig.nodes, seed=77, retries=0)
            plan = shape.arrivals(77, "poisson", 85, 14, "exponential", 0.03, rounds.OPERATIONS)
            load = asyncio.ensure_future(clients.play(plan))
            await asyncio.sleep(3)
            await rig.end(first)
            second, later = await holder()
            await rig.again(first)
            # A file read again with half the limit: at all nodes, and then a faulty one.
            rig.shares = [{**limits[0], "rate": 15}, limits[1]]
            for name in rig.nodes:
                rig.reload(name, lambda told: None)
            await asyncio.sleep(3)
            # As operators see it; a node whose share is old says how old.
            said = await asyncio.to_thread(
                CliRunner().invoke, cli, ["limits", "--node", "%s:%d" % rig.consoles["n0"]]
            )
            assert said.exit_code == 0 and "holder node" in said.output and "15 a second" in said.output
            shares = []
            for name in rig.nodes:
                _, told = await rig.call(name, "GET", "/v1/limits")
                shares.append(json.loads(told)["limits"][0])
            await load
            rig.fill(clients.ledger)
            judge = Judge()
            judge.limits(clients.ledger, limits, rounds.LATE)
            return first, term, second, later, shares, clients.ledger.counts(), judge
        finally:
            await rig.close()

    first, term, second, later, shares, counts, judge = asyncio.run(asyncio.wait_for(story(), 90))
    assert second != first and later > term
    assert {row["limit"] for row in shares} == {15} and sum(r["share"] + r["floor"] for r in shares) <= 15
    assert not judge.broken and counts["throttled"] > 100 and counts["succeeded"] > 60
