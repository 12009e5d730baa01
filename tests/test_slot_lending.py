"""Slots that group coordinators grant to other nodes."""

from helpers import Several, dispatcher, pull, rows

from grebedyke.model.actions import Forward, SendPeerMessage
from grebedyke.model.outcome import Outcome
from grebedyke.model.peer_messages import (
    SlotDenial,
    SlotGrant,
    SlotProgressed,
    SlotReleased,
    SlotRequest,
    SlotStarted,
)
from grebedyke.wire import peer_codec


def forwards(done):
    return [(by, x.request_id, x.endpoint_id) for _, by, x in done if isinstance(x, Forward)]


def test_nodes_together_send_an_executor_no_more_than_its_credit():
    """Many nodes each see room at an executor where together they have none left."""
    s = Several(6, rows(1, 2))
    for by, d in enumerate(s.all):
        d.taken(10, by, "op", None, 50_010, 1_000, 1)
    first = forwards(s.go(10, 300))
    assert len(first) == 4 and sorted(x[2] for x in first) == [1, 1, 2, 2]  # credit is two at first
    for by, id, _ in first:
        s.all[by].started(300, id, 0)
        s.all[by].ended(320, id, 0, Outcome.SUCCEEDED, True)
    assert len(forwards(s.go(320, 600))) == 2
    assert all(
        not e.slots_in_use or not e.in_flight for d in s.all for e in d.endpoints.healthy if not e.in_flight
    )


def test_a_silent_coordinator_is_replaced_and_a_lost_message_costs_no_executor():
    """A coordinator dies or its messages are lost: its executors must not be lost with it."""
    for outage in (range(6), (0,)):
        s = Several(6, rows(1, 2))
        keeper = s.all[0].endpoints.coordinators.node_for(("a", 0), 10)
        s.lost = lambda by, to: keeper in (by, to) and to in (keeper, *outage)
        asker = next(i for i in range(6) if i != keeper)
        s.all[asker].taken(10, 5, "op", None, 50_010, 1_000, 1)
        done = s.go(10, 2_400)
        assert len(forwards(done)) == 1 and 1_000 < done[0][0] < 1_200
        book = s.all[s.all[asker].endpoints.coordinators.node_for(("a", 0), 1_500)].endpoints
        assert sum(e.slots_in_use for e in book.healthy) == 1
        s.all[asker].ended(2_400, 5, 0, Outcome.SUCCEEDED, True)
        s.lost = lambda by, to: to == keeper
        s.go(2_410, 3_000)
        assert sum(e.slots_in_use for e in book.healthy) == 0


def test_a_granted_slot_is_released_when_its_client_has_left_or_its_node_is_dead():
    """Slots are granted to requests that are gone: without a release or an expiry none would be left."""
    for dead in (False, True):
        s = Several(4, rows(1))
        keeper = s.all[0].endpoints.coordinators.node_for(("a", 0), 10)
        asker = (keeper + 1) % 4
        e = s.all[keeper].endpoints.by_id[1]
        s.all[asker].taken(10, 5, "op", None, 50_010, 1_000, 1)
        s.go(10, 30)
        assert e.slots_in_use == 1
        s.all[asker].left(30, 5)
        s.lost = lambda by, to: dead and by == asker
        done = s.go(40, 100)
        assert not forwards(done) and e.slots_in_use == dead
        s.go(100, 60_000, 1_000)
        assert e.slots_in_use == 0 and not s.all[keeper].requests


def test_the_own_list_takes_precedence_over_a_grant():
    """A coordinator with an older list grants a slot at an executor that this node knows to drain."""
    for state, sent in (("draining", 0), ("gone", 0), ("healthy", 1)):  # rule 3 is each node's own
        s = Several(4, rows(1))
        asker = (s.all[0].endpoints.coordinators.node_for(("a", 0), 10) + 1) % 4
        s.all[asker].taken(10, 5, "op", None, 50_010, 1_000, 1)
        s.go(10, 20)
        s.all[asker].listed(25, False, rows(1, state=state))
        assert len(forwards(s.go(30, 200))) == sent


def test_a_message_that_is_odd_repeated_or_late_does_no_harm():
    """Datagrams arrive twice, late, from strangers or with absurd figures."""
    d = dispatcher(nodes=4, me=0, split=1)
    d.listed(10, True, rows(1, 2))
    d.endpoints.coordinators.node_for = lambda group, now: 0
    rank = d.endpoints.healthy[0].rank
    plain = SlotRequest(7, rank, 40_000, 1_000, 0, 1, 0, 0, 0, 0)
    for by, message in (
        (1, plain),
        (1, plain),
        (9, plain),
        (-1, plain),
        (0, plain),
        (2, plain._replace(rank=99)),
        (2, plain._replace(operation=200)),
        (2, SlotRequest(8, rank, 2**32 - 1, 2**32 - 1, 255, 255, 255, 0, 255, 1)),
        (3, SlotGrant(7, rank)),
        (3, SlotGrant(7, 5)),
        (3, SlotDenial(7, True)),
        (3, SlotStarted(7, 2**32 - 1, True)),
        (3, SlotProgressed(7)),
        (3, SlotReleased(7, Outcome.SUCCEEDED, 25.0)),
        (3, SlotReleased(7, Outcome.FAILED, None)),
    ):
        d.heard(20, by, peer_codec.decode(peer_codec.encode(message)))
    told = pull(d, 20, SendPeerMessage)
    grants = [x for x in told if isinstance(x.message, SlotGrant)]
    assert sorted(x.node for x in grants) == [1, 2]
    # Nothing of it is used.
    releases = [x for x in told if isinstance(x.message, SlotReleased)]
    assert releases == [(3, SlotReleased(7, Outcome.NEVER_SENT, None))] * 2
    assert all(
        inv.deadline <= 20 + inv.operation.client_timeout
        and inv.estimated_work <= inv.operation.client_timeout
        and inv.slots <= 64
        for inv in d.requests.values()
    )
    for message in (
        SlotReleased(7, Outcome.SUCCEEDED, None),
        SlotReleased(7, Outcome.SUCCEEDED, None),
        SlotStarted(7, 10, False),
        SlotProgressed(7),
    ):
        d.heard(60, 1, peer_codec.decode(peer_codec.encode(message)))  # repeated, and after the end
    assert d.endpoints.by_id[grants[0].message.rank == rank and d.endpoints.healthy[0].id or 2].credit <= 3
    assert len(d.requests) == 1


def test_a_warming_executor_gets_no_more_than_its_part_through_its_coordinator():
    """An executor starts cold and all nodes place work by one coordinator (rule 4)."""
    s = Several(20, rows(1, born=9_000) + rows(*range(2, 8)))
    work, queues = {}, {}
    for i in range(400):  # a hundred a second
        now = 10_100 + 100 * i
        s.all[i % 20].taken(now, now, "op", None, now + 50_000, 4_000, 1)
        for at, by, x in s.go(now, now + 90):
            if isinstance(x, Forward):
                id = x.endpoint_id
                queues.setdefault(id, []).append([by, x.request_id, 0])
                work[id, i // 100] = work.get((id, i // 100), 0) + 4_000
        for queue in queues.values():  # each runs two at once
            for f in [f for f in queue if f[2] and f[2] <= now]:
                s.all[f[0]].ended(now, f[1], 0, Outcome.SUCCEEDED, True)
                queue.remove(f)
            for f in [f for f in queue[:2] if not f[2]]:
                s.all[f[0]].started(now, f[1], 0)
                f[2] = now + 4_000
    for second in range(4):
        assert 0 < work[1, second] <= 3.0 * 2 * 10_000 * (0.3 + 0.7 * (second + 1) / 8)
