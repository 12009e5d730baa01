"""Unusual settings: operation names, changed client timeouts, long scheduling intervals."""

import orjson
import pytest
from helpers import take_actions
from node_harness import SETTINGS
from socketless_node import NOW, REQUEST, SocketlessNode, receive

from grebedyke.model.actions import Forward, Throttle
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import AttemptEnded, EndpointsChanged, RequestArrived
from grebedyke.model.outcome import Outcome
from grebedyke.service import configuration
from grebedyke.service.node_settings import node_settings, with_capped_interval
from grebedyke.service.reload import adopt_settings
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
def test_operation_names_with_special_characters_are_matched(name, path, header):
    """Clients send an operation's name that is not ASCII, as bytes or percent-encoded.

    Names were decoded as Latin-1, and every request for such an operation was answered with 404.
    """
    node = SocketlessNode()
    node.listener.apply_settings(ListenerSettings({name: 40_000}, 60_000))
    head = REQUEST.replace(b"/op/", b"/" + path + b"/")
    if header:
        head = head.replace(b"X-Timeout", b"X-Priority-Class: " + header + b"\r\nX-Timeout")
    receive(node.client(), head.replace(b"X-Timeout", b"X-Tenant-Id: M\xc3\xa1tra\r\nX-Timeout"))
    node.run()
    requests = [event for event in node.dispatcher.events if isinstance(event, RequestArrived)]
    assert [(request.operation, request.tenant) for request in requests] == [(name, "Mátra")]
    node.forward()
    assert node.connections[0].transport.written.startswith(b"POST /" + path + b"/k?q=1 HTTP/1.1\r\n")


@pytest.mark.parametrize("control_byte", (b"\n", b"\r", b"\0", b"\t", b"\x7f", b"\x1b"))
def test_control_bytes_in_a_target_are_rejected(control_byte):
    node = SocketlessNode()
    client = receive(node.client(), REQUEST.replace(b"/op/k", b"/op/k" + control_byte + b"X:y"))
    node.run()
    assert client.transport.written.startswith(b"HTTP/1.1 400") and not node.host.requests.pending


def test_clients_with_the_longer_timeout_before_a_reload_are_accepted():
    """A reload shortens an operation's timeout, and clients use the longer one until they are updated.

    Until then their requests were answered with 400, which counts as an error.
    """
    node = SocketlessNode()
    node.listener.apply_settings(ListenerSettings({"op": 20_000}, 60_000))
    for timeout, is_accepted in ((4000, True), (4001, False), (2000, True), (1500, True)):
        node.dispatcher.events.clear()
        client = receive(
            node.client(), REQUEST.replace(b"r1", b"r%d" % timeout).replace(b"4000", b"%d" % timeout)
        )
        node.run()
        requests = [event for event in node.dispatcher.events if isinstance(event, RequestArrived)]
        deadline = NOW + min(timeout * 10, 20_000) - node.host.requests.settings.response_margin
        assert [request.deadline for request in requests] == ([deadline] if is_accepted else []), timeout
        assert client.transport.written.startswith(b"HTTP/1.1 400") == (not is_accepted)


def test_longer_scheduling_interval_does_not_retry_a_timed_out_attempt():
    settings = {
        **SETTINGS,
        "tickMs": 2,
        "operations": [{**SETTINGS["operations"][0], "idempotency": "safe", "latencyObjectiveMs": 20_000}],
    }
    before = configuration.check_settings(orjson.loads(orjson.dumps(settings)))
    after = configuration.check_settings({**settings, "tickMs": 20})
    dispatcher = configuration.open_dispatcher("1", before)
    listed = [EndpointRow(f"s-{i}", "a", "m", 0, "healthy", 0, 1) for i in range(3)]
    dispatcher.handle(10, EndpointsChanged(True, listed))
    dispatcher.handle(100, RequestArrived(b"r1", "op", None, 80_100, 0, 1))
    ((id, first, *_),) = take_actions(dispatcher, 100, Forward)
    adopt_settings(200, dispatcher, configuration.open_dispatcher("1", after))
    over = 80_100 - 3 * 200
    dispatcher.handle(over, AttemptEnded(id, 0, Outcome.TIMEOUT, False))
    assert [type(action) for action in take_actions(dispatcher, over)] == [Throttle]


@pytest.mark.parametrize(
    "tick, shortest, remaining", ((10, 100, 80), (5, 5000, 4960), (2, 300, 284), (20, 60, 48))
)
def test_short_client_timeouts_leave_time_for_an_attempt(tick, shortest, remaining):
    """The client timeout is only a few scheduling intervals long.

    With intervals of 10 ms, the steps before the deadline, four intervals each, took up a client timeout of
    100 ms, and nearly all requests were given up.
    """
    settings = with_capped_interval(
        configuration.check_settings(
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
    requests = node_settings(settings).requests
    margin = requests.response_margin
    step = requests.scheduling_interval
    assert shortest * 10 - margin - 4 * step >= remaining * 10 - 50, (margin, step)
    assert step <= tick * 10
