"""Slow start: the traffic that warming endpoints get from all nodes together."""

from collections import Counter

import orjson
from helpers import dispatcher, rows, take_actions

from grebedyke.model.actions import Forward, Probe
from grebedyke.model.outcome import Outcome
from grebedyke.units import TICKS_PER_SECOND


def test_nodes_take_turns_at_a_cold_executor():
    """All nodes learn of a new executor at the same time and together could send it too much."""
    for now in range(10_010, 20_000, 1_000):
        senders = 0
        for number in range(3):
            node = dispatcher(node_count=3, node_number=number)
            node.endpoints_changed(now, True, rows(1, started_at=10_000))
            for i in range(9):
                node.request_arrived(now, i, "op", None, now + 50_000, 1_000, 1)
            sent = len(take_actions(node, now, Forward))
            assert sent <= 1
            senders += sent
        assert senders == 1


def test_a_warming_executor_is_drawn_at_its_share_when_the_others_are_not_ready():
    """If no other executor is ready, all nodes could choose the one that has just started (rule 4)."""
    sent = 0
    for seed in range(200):
        node = dispatcher(node_count=200, node_number=0, probes=True, seed=seed)
        node.endpoints_changed(100_000, True, rows(1, started_at=99_990) + rows(*range(2, 22)))
        for endpoint in node.endpoints.healthy:
            endpoint.ejected_until, endpoint.last_alive_at = (0 if endpoint.id == 1 else 10**9), 99_999
        node.request_arrived(100_000, 5, "op", None, 150_000, 1_000, 1)
        sent += any(take_actions(node, now, Probe) for now in range(100_000, 101_000, 100))
    assert sent < 200 * 3 / 20


WARMING = range(100, 136)
NODES = 40
MEAN_RATE = NODES * 10 / 60  # attempts per second and executor, in traffic of ten per second and node


def attempts_to_warming_executors(others_have_room):
    """Returns the endpoints that a node knows, and the (executor, time) of all attempts of all nodes."""
    attempts = []
    for number in range(NODES):
        node = dispatcher(node_count=NODES, node_number=number, probes=True, seed=number)
        node.endpoints_changed(0, True, rows(*range(24)))
        node.endpoints_changed(120_000, False, rows(*WARMING, started_at=100_000))
        for endpoint in node.endpoints.healthy:
            endpoint.ejected_until = 0 if endpoint.id in WARMING or others_have_room else 10**9
        for i in range(40):
            node.endpoints.sends.add(80_000 + i * 1_000)
        for i in range(40):  # ten per second and node, starting when the warming executors are 2 s old
            now = 120_000 + i * 1_000
            node.request_arrived(now, i, "op", None, now + 50_000, 1_000, 1)
            for (id,) in take_actions(node, now, Probe):
                node.probe_answered(now, id, "ok", 4, 1)
            for request_id, id, *_ in take_actions(node, now, Forward):
                if id in WARMING:
                    attempts.append((id, now))
                node.attempt_started(now, request_id, 0)
                node.attempt_ended(now, request_id, 0, "ok", True)
    return node.endpoints, attempts


def test_many_warming_executors_get_their_share_from_all_nodes_together_and_no_more():
    """If most executors are new, either the others are overloaded or the new ones get too much (rule 4).

    The limit must hold whether or not the others have room, since nodes learn that late.
    """
    for others_have_room in (True, False):
        endpoints, attempts = attempts_to_warming_executors(others_have_room)
        sent = Counter((id, time // 10_000) for id, time in attempts)
        for (_, second), count in sent.items():
            assert count < 3 * endpoints.warmth(endpoints.by_id[100], second * 10_000) * MEAN_RATE
        assert sum(sent.values()) > 4 * 36 * 0.3 * MEAN_RATE


def test_attempts_whose_connections_come_up_together_do_not_overload_a_warming_executor():
    """Attempts decided one by one arrive together if their connections come up together (rule 4)."""
    connect_timeout, overload_time = 2_500, 10_000  # ticks, as in deploy/fleet.toml
    for others_have_room in (True, False):
        endpoints, attempts = attempts_to_warming_executors(others_have_room)
        highest = 0.0
        for id, start in attempts:
            end = start + connect_timeout + overload_time
            arrivals = sum(other == id and start <= time <= end for other, time in attempts)
            warmth = endpoints.warmth(endpoints.by_id[100], start)
            highest = max(highest, arrivals / (warmth * MEAN_RATE * overload_time / TICKS_PER_SECOND))
        assert highest < 3, "multiple of what the executor can do"


def test_a_fleet_of_warming_executors_does_not_starve_itself():
    """A share computed from the sends of the last four seconds shrank with the traffic that it admitted.

    Of 40 requests per second, 8, then 4 and then 0 were sent.
    """
    node = dispatcher(node_count=1)
    node.endpoints_changed(10, True, rows(*"abcdefg"))
    sent, running = {}, []

    def run(start, end):
        for now in range(start, end, 250):
            while running and running[0][0] <= now:
                _, id, n = running.pop(0)
                node.attempt_ended(now, id, n, Outcome.SUCCEEDED, True)
            node.request_arrived(now, now, "op", None, now + 40_000, 500, 1)
            for action in take_actions(node, now):
                if isinstance(action, Forward):
                    id = action.request_id
                    node.attempt_started(now + 5, id, 0)
                    running.append((now + 2_000, id, 0))
                    sent[now // 10_000] = sent.get(now // 10_000, 0) + 1

    run(0, 200_000)
    node.endpoints_changed(200_000, True, rows(*"hijklmn", started_at=200_000))
    run(200_000, 280_000)
    assert min(sent.get(second, 0) for second in range(20, 28)) > sent[19] / 4, sent
    # A successor process takes over the count of sent attempts.
    successor = dispatcher(node_count=1)
    successor.endpoints.restore(280_000, orjson.loads(orjson.dumps(node.endpoints.snapshot())))
    assert successor.endpoints.sends.total(280_000) == node.endpoints.sends.total(280_000) > 400


def test_executors_that_need_no_warming_are_warm_at_once():
    """`rampTimeMs` 0 passed the settings check, but the first request to a new executor failed."""
    node = dispatcher()
    node.endpoints.slow_start.ramp_time = 0
    node.endpoints_changed(1_000, True, rows("e", started_at=1_000))
    node.request_arrived(1_000, 5, "op", None, 51_000, 1_000, 1)
    assert [action.endpoint_id for action in take_actions(node, 1_000, Forward)] == ["e"]
