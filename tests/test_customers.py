"""Settings of other customers: names, times that change, ticks."""

import orjson
import pytest
from helpers import pull
from node_harness import SETTINGS
from socketless_node import NOW, REQUEST, SocketlessNode, receive

from grebedyke.model.actions import Forward, Throttle
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import AttemptEnded, EndpointsChanged, RequestArrived
from grebedyke.model.outcome import Outcome
from grebedyke.service import configuration
from grebedyke.service.node_settings import node_settings, with_fitting_interval
from grebedyke.service.reload import reload
from grebedyke.wire.client_listener import ListenerSettings


@pytest.mark.parametrize(
    "name, path, header",
    (
        ("Hívás", "Hívás".encode(), None),
        ("Hívás", b"H%C3%ADv%c3%a1s", "Hívás".encode()),
        ("Hívás", "Hívás".encode("latin-1"), "Hívás".encode("latin-1")),
        ("100%41", b"100%41", b"100%41"),
        ("100%41", b"100%2541", None),
        ("Gate.Open", b"Gate.Open", b"Gate.Open"),
        ("a b", b"a%20b", b"a b"),
    ),
)
def test_an_operation_is_found_by_whatever_name_the_settings_give_it(name, path, header):
    # Names were read as Latin-1: every invocation of such an operation was answered 404.
    node = SocketlessNode()
    node.listener.apply_settings(ListenerSettings({name: 40_000}, 60_000))
    head = REQUEST.replace(b"/op/", b"/" + path + b"/")
    if header:
        head = head.replace(b"X-Timeout", b"X-Priority-Class: " + header + b"\r\nX-Timeout")
    receive(node.client(), head.replace(b"X-Timeout", b"X-Tenant-Id: M\xc3\xa1tra\r\nX-Timeout"))
    node.run()
    assert [(x.operation, x.tenant) for x in node.dispatcher.events if isinstance(x, RequestArrived)] == [
        (name, "Mátra")
    ]
    node.forward()
    assert node.connections[0].transport.written.startswith(b"POST /" + path + b"/k?q=1 HTTP/1.1\r\n")


@pytest.mark.parametrize("odd", (b"\n", b"\r", b"\0", b"\t", b"\x7f", b"\x1b"))
def test_control_bytes_in_a_target_do_not_reach_an_executors_line(odd):
    node = SocketlessNode()
    client = receive(node.client(), REQUEST.replace(b"/op/k", b"/op/k" + odd + b"X:y"))
    node.run()
    assert client.transport.written.startswith(b"HTTP/1.1 400") and not node.host.requests.pending


def test_clients_that_go_on_with_a_longer_time_are_taken_and_answered_by_the_shorter():
    # After a reload that shortened it they were answered 400, an error, until they had heard of it.
    node = SocketlessNode()
    node.listener.apply_settings(ListenerSettings({"op": 20_000}, 60_000))
    for wait, taken in ((4000, True), (4001, False), (2000, True), (1500, True)):
        node.dispatcher.events.clear()
        client = receive(node.client(), REQUEST.replace(b"r1", b"r%d" % wait).replace(b"4000", b"%d" % wait))
        node.run()
        assert [x.deadline for x in node.dispatcher.events if isinstance(x, RequestArrived)] == (
            [NOW + min(wait * 10, 20_000) - node.host.requests.settings.response_margin] if taken else []
        ), wait
        assert client.transport.written.startswith(b"HTTP/1.1 400") == (not taken)


def test_a_longer_tick_does_not_send_again_beside_a_forward_whose_time_is_over():
    terms = {
        **SETTINGS,
        "tickMs": 2,
        "operations": [{**SETTINGS["operations"][0], "idempotency": "safe", "latencyObjectiveMs": 20_000}],
    }
    d = configuration.open_dispatcher("1", configuration.terms(orjson.loads(orjson.dumps(terms))))
    listed = [EndpointRow(f"s-{i}", "a", "m", 0, "healthy", 0, 1) for i in range(3)]
    d.handle(10, EndpointsChanged(True, listed))
    d.handle(100, RequestArrived(b"r1", "op", None, 80_100, 0, 1))
    ((id, first, _),) = pull(d, 100, Forward)
    reload(200, d, configuration.open_dispatcher("1", configuration.terms({**terms, "tickMs": 20})))
    over = 80_100 - 3 * 200
    d.handle(over, AttemptEnded(id, 0, Outcome.TIMEOUT, False))
    assert [type(x) for x in pull(d, over)] == [Throttle]


@pytest.mark.parametrize(
    "tick, shortest, left", ((10, 100, 80), (5, 5000, 4960), (2, 300, 284), (20, 60, 48))
)
def test_short_client_timeouts_leave_time_for_a_forward(tick, shortest, left):
    # Steps of four ticks each before the due time ate 100 ms at ticks of 10 ms: nearly all was given up.
    terms = with_fitting_interval(
        configuration.terms(
            {
                **SETTINGS,
                "tickMs": tick,
                "operations": [
                    SETTINGS["operations"][0],
                    {**SETTINGS["operations"][0], "name": "b", "clientTimeoutMs": shortest},
                ],
            }
        )
    )
    requests = node_settings(terms).requests
    margin = requests.response_margin
    step = requests.scheduling_interval
    assert shortest * 10 - margin - 4 * step >= left * 10 - 50, (margin, step)
    assert step <= tick * 10
