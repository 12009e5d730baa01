"""When nodes ask for the endpoint list."""

from helpers import dispatcher, pull

from grebedyke.model.actions import PollEndpointList


def test_the_list_is_asked_for_again_later_each_time():
    """Discovery is down: nodes that ask at a fixed interval would keep it down."""
    node = dispatcher(asks=True)
    node.unlisted(10)
    now, gaps = 10, []
    for _ in range(4):
        start = now
        while not pull(node, now, PollEndpointList):
            now += 100
        gaps.append(now - start)
        node.unlisted(now)
    assert gaps[0] < 10_000 and gaps[3] > gaps[1]


def test_after_a_mass_restart_all_nodes_ask_soon_but_not_at_once():
    """A release restarts all nodes: asking at once overloads discovery, asking late leaves an old list."""
    first = []
    for seed in range(40):
        node = dispatcher(asks=True, nodes=40, seed=seed)
        node.unlisted(0)
        first.append(next(now for now in range(0, 200_000, 100) if pull(node, now, PollEndpointList)))
    assert max(first) <= 2 * 10_000 + 100 and max(first.count(at) for at in first) < 5
    for _ in range(3):
        node.unlisted(0)
    latest = max(node.list_polling.poll_at for _ in range(9) if node.unlisted(0) is None)
    assert node.endpoints.node_count * 500 < latest <= 8 * 2 * 10_000 + 1
