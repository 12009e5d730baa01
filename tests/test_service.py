"""Configuration errors, exit codes, phases and the graceful shutdown of a node."""

import asyncio
import os
import signal
import subprocess
import sys

import orjson
import pytest
from helpers import list_update
from job_emulators import AcceptingExecutor, send_message
from node_files import LISTED_ROW, SETTINGS, checked_configuration, node_file, node_file_with
from socketless_node import REQUEST, SocketlessNode, call_back_message

from grebedyke.model.events import EndpointsChanged
from grebedyke.service import configuration, graceful_shutdown, node
from grebedyke.service.assembly import assemble
from grebedyke.wire.endpoint_rows import ListedEndpoint

KEYED_OPERATION = {
    "name": "op",
    "idempotency": "keyed",
    "latencyObjectiveMs": 200,
    "clientTimeoutMs": 4000,
    "windowMs": 9,
    "group": "zone",
}
OPERATION = ("settings", "operations", 0)
LIMITS = ("settings", "limits")
INVALID_VALUES = (
    # (path, value, expected words in the message)
    (("listen",), "9000", "listen is not host:port"),
    (("discovery",), "h:0", "discovery is not host:port"),
    (("name",), None, "name is missing"),
    (("limits",), {"sockets": 3}, "limits.sockets is out of its range"),
    (("known", "endpoints", 0, "address"), "x", "known.endpoints[0].address is not host:port"),
    (("settings", "rules", "coldFrom"), None, "settings.rules.coldFrom is missing"),
    (("settings", "me"), 1, "settings.me is out of its range"),
    (("settings", "tickMs"), True, "settings.tickMs"),
    (("settings", "operations"), [], "settings.operations is missing"),
    ((*OPERATION, "idempotency"), "keyed", "settings.operations[0].windowMs is missing"),
    ((*OPERATION, "group"), "row", "settings.operations[0].group is unknown"),
    (OPERATION, {**KEYED_OPERATION, "group": None}, "settings.operations[0].group is missing"),
    ((*OPERATION, "clientTimeoutMs"), None, "settings.operations[0].clientTimeoutMs is missing"),
    ((*OPERATION, "clientTimeoutMs"), 0, "settings.operations[0].clientTimeoutMs is out of its range"),
    (LIMITS, None, "settings.limits is missing"),
    ((*LIMITS, "maxForwards"), None, "settings.limits.maxForwards is missing"),
    ((*LIMITS, "maxForwards"), 0, "settings.limits.maxForwards is out of its range"),
    (LIMITS, {**SETTINGS["limits"], "peerMessages": "yes"}, "settings.limits.peerMessages"),
    (("peers",), ["x"], "peers[0] is not host:port"),
    (("peers",), ["h:1", "h:2"], "peers has 2 of 1 nodes"),
    (("settings", "registryMode"), "pull", "settings.registryMode is unknown"),
    (("settings", "familyInfo"), {"tellsStart": 1}, "settings.familyInfo.tellsStart"),
)


def assert_refused(environ, words):
    """Asserts that the configuration is rejected with a message that contains these words."""
    pattern = words.replace("[", r"\[").replace("]", r"\]")
    with pytest.raises(configuration.ConfigurationError, match=pattern):
        configuration.read_node(environ)


def test_configuration_errors_name_the_key(tmp_path):
    file = tmp_path / "config.json"
    environ = {"BALANCER_CONFIG": str(file)}
    for path, value, words in INVALID_VALUES:
        file.write_bytes(orjson.dumps(node_file_with(path, value)))
        assert_refused(environ, words)
    for text, words in (("{", "not JSON"), ("[]", "not an object")):
        file.write_text(text)
        assert_refused(environ, words)
    assert_refused({}, "is missing")
    assert_refused({"BALANCER_CONFIG": str(tmp_path / "none")}, "cannot be read")


def test_environment_overrides_the_file(tmp_path):
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps(node_file()))
    environ = {"BALANCER_CONFIG": str(file), "BALANCER_LISTEN": "127.0.0.7:81"}
    node_configuration = configuration.read_node(environ)
    assert node_configuration["listen"] == ("127.0.0.7", 81)
    assert node_configuration["settings"]["limits"]["maxForwards"] == 5


def test_exit_code_is_2_for_an_invalid_file_and_0_after_sigterm(tmp_path):
    file = tmp_path / "config.json"
    for content, exit_code, expected_line in (
        (node_file_with(("settings", "tickMs"), 0), 2, "settings.tickMs"),
        (node_file(), 0, "n1 phase starting -> serving"),
    ):
        file.write_bytes(orjson.dumps(content))
        process = subprocess.Popen(
            [sys.executable, "-m", "grebedyke"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "BALANCER_CONFIG": str(file)},
        )
        try:
            assert any(expected_line in line for line in process.stderr)
            if exit_code == 0:
                process.send_signal(signal.SIGTERM)
            assert process.wait(10) == exit_code
        finally:
            process.kill()
            process.wait()
            process.stderr.close()


async def assert_connection_still_serves(address, connection, executor):
    """Asserts that a second request is served on an open connection shortly before the node's end.

    The clients may have no other node, so open connections are served until then.
    """
    await asyncio.sleep(0.7)
    request = REQUEST.replace(b"r1", b"r2")
    response = asyncio.create_task(send_message(address, request, connection))
    await asyncio.wait_for(executor.received.get(), 2)
    assert b" 204 " in await send_message(address, call_back_message("done", request_id="r2"))
    assert b" 200 " in await response


async def request_during_shutdown(calls_back):
    """Stops a node while an executor runs one of its requests.

    Args:
        calls_back: Whether the executor reports the job's end.

    Returns:
        The head of the response, and the node's last phase.
    """
    executor = await AcceptingExecutor().start()
    endpoints = [{**LISTED_ROW, "address": executor.address}]
    node_configuration = checked_configuration(node_file(known={"index": 1, "endpoints": endpoints}))
    ending_node = assemble(asyncio.get_running_loop(), node_configuration, None)
    serving = asyncio.create_task(ending_node.serve())
    address = node_configuration["listen"]
    while ending_node.phase != node.NodePhase.SERVING:
        await asyncio.sleep(0.01)
    health_check = b"GET /up HTTP/1.1\r\n\r\n"
    assert b" 200 " in await send_message(address, health_check)
    connection = await asyncio.open_connection(*address)
    first = asyncio.create_task(send_message(address, REQUEST, connection))
    assert (await executor.received.get()).startswith(b"POST /op/k?q=1 ")
    ending_node.stop()
    assert b" 503 " in await send_message(address, health_check)
    if calls_back:
        result = call_back_message("done", more=',"result":"x"')
        assert b" 204 " in await send_message(address, result)
        response = await first
        await assert_connection_still_serves(address, connection, executor)
    else:
        response = await first
    await asyncio.wait_for(serving, 5)
    if not calls_back:
        cancel = await asyncio.wait_for(executor.received.get(), 1)
        assert cancel.startswith(b"DELETE /jobs/r1 ")
    executor.server.close()
    return response, ending_node.phase


def test_graceful_shutdown_still_accepts_call_backs(monkeypatch):
    """A node is stopped while a request waits for its executor.

    The node must accept new connections and call-backs until then; otherwise all waiting requests fail.
    """
    monkeypatch.setattr(graceful_shutdown, "MAX_SHUTDOWN_TIME", 10_000)
    for calls_back, status in ((True, b" 200 "), (False, b" 500 ")):
        response, phase = asyncio.run(request_during_shutdown(calls_back))
        assert status in response and phase == node.NodePhase.STOPPED
        assert (b"Connection: close" in response) == (not calls_back)


def test_phases_do_not_go_back():
    for phase, other in (
        (node.NodePhase.SERVING, node.NodePhase.STARTING),
        (node.NodePhase.STOPPED, node.NodePhase.SERVING),
        (node.NodePhase.STARTING, node.NodePhase.STOPPING),
    ):
        assert other not in node.NEXT_PHASES[phase]


def test_executor_start_times_are_converted_to_the_dispatchers_clock():
    socketless = SocketlessNode()
    socketless.host.endpoint_updates.unix_time_offset = -5_000
    rows = [
        ListedEndpoint("s-1", ("127.0.0.1", 9), "a", "m", 0, "healthy", since_ms, 1) for since_ms in (0, 700)
    ]
    socketless.host.endpoint_updates.on_list(0, list_update(*rows, is_complete=True))
    event = socketless.dispatcher.events[0]
    assert isinstance(event, EndpointsChanged)
    assert [row.started_at for row in event.rows] == [0, 2_000]
