"""Hot restart: a new process takes over from a serving one."""

import asyncio
import os
import signal
import socket
import subprocess
import sys

import orjson
from job_emulators import RunningExecutor, send_message
from loguru import logger
from node_files import (
    LISTED_ROW,
    OPERATIONS,
    SETTINGS,
    checked_configuration,
    configuration_reader,
    node_file,
)

from grebedyke.emulators.ports import free_port
from grebedyke.service import node
from grebedyke.service.assembly import assemble
from grebedyke.service.hot_restart import HotRestart
from grebedyke.service.process_channel import PACKET_BYTES, ProcessChannel

READY_CALL = b"GET /v1/readyz HTTP/1.1\r\n\r\n"
HEALTH_CHECK = b"GET /up HTTP/1.1\r\n\r\n"
# Seconds in which a message between the two processes is handled.
MESSAGE_TIME_S = 0.05


def admin_call(endpoint_id, action):
    """Returns an operator's call on an endpoint."""
    return f"POST /v1/executors/{endpoint_id}/{action} HTTP/1.1\r\n\r\n".encode()


def channel_pair(on_message, on_end):
    """Returns both ends of a channel; the callbacks get the number of the end as first argument."""
    loop = asyncio.get_running_loop()
    return [
        ProcessChannel(
            loop,
            end,
            lambda _, message, descriptors, number=number: on_message(number, message, descriptors),
            lambda _, number=number: on_end(number),
        )
        for number, end in enumerate(socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET))
    ]


def test_channel_delivers_long_messages_and_descriptors_in_order():
    async def scenario():
        received = []
        ended = []

        def on_message(number, message, descriptors):
            inodes = [os.fstat(descriptor).st_ino for descriptor in descriptors]
            received.append((number, message, inodes))
            for descriptor in descriptors:
                os.close(descriptor)

        near, far = channel_pair(on_message, ended.append)
        messages = [{"n": 1}, {"n": "x" * (5 * PACKET_BYTES)}, *({"n": number} for number in range(500))]
        with open(os.devnull) as file:
            for message in messages:
                near.send(message, file.fileno())
            inode = os.fstat(file.fileno()).st_ino
        # The socket buffer is full: the rest follows with its descriptors when the socket is writable.
        assert near.queue
        while len(received) < len(messages):
            await asyncio.sleep(0.01)
        near.close()
        near.send({"n": 3})  # no effect after the close
        async with asyncio.timeout(2):
            while len(ended) < 2:
                await asyncio.sleep(0.01)
        assert received == [(1, message, [inode]) for message in messages]
        assert ended == [0, 1] and far.socket is None

    asyncio.run(scenario())


def process_side(folder, listening, calls, **handlers):
    """Returns one side of a hot restart; `calls` records received states and sharing changes."""
    loop = asyncio.get_running_loop()
    return HotRestart(
        loop,
        lambda call, *args: loop.call_soon(call, 0, *args),
        str(folder),
        "n/1",
        lambda: ({"list": [1]}, listening.fileno()),
        {"books": lambda now, message: calls.append(message), **handlers},
        calls.append,
    )


async def assert_stale_socket_is_ignored(folder, first, second):
    """Asserts that a process can start although a killed process has left its socket file behind."""
    first.close()
    assert os.listdir(folder) == []
    first.listen_for_successor()
    first.stop_listening()
    assert await second.inherit() is None


def test_only_one_successor_is_accepted_and_malformed_messages_are_tolerated(tmp_path):
    """Several processes try to take over, and one sends a malformed message.

    The serving process must continue and accept the next process after its successor has ended.
    """
    folder = tmp_path / ("long" * 30)
    folder.mkdir()

    async def scenario():
        listening = socket.socket()
        calls = []
        first = process_side(folder, listening, calls, hand=lambda name: calls.append(name))
        second = process_side(folder, listening, calls)
        third = process_side(folder, listening, calls)
        assert await first.inherit() is None
        first.listen_for_successor()
        inherited = await second.inherit()
        assert inherited is not None and calls == [True, True, {"list": [1]}]
        assert await third.inherit() is None  # the first process already has a successor
        first.successor.send({"kind": "what"})  # an unknown kind, as of another version
        await asyncio.sleep(MESSAGE_TIME_S)
        assert calls[3:] == [False] * 3 and not first.successor_is_ready
        # After its successor has ended early, the first process accepts the next one.
        assert await third.inherit() is not None
        third.listen_for_successor()
        await asyncio.sleep(MESSAGE_TIME_S)
        assert first.successor_is_ready and not first.server
        third.send("hand", name="s-1")
        third.send("hand", odd=1)
        await asyncio.sleep(MESSAGE_TIME_S)
        assert calls[-1] == "s-1" and first.successor_is_ready
        third.close()
        await asyncio.sleep(MESSAGE_TIME_S)
        assert not first.successor_is_ready and first.server
        inherited.close()
        listening.close()
        await assert_stale_socket_is_ignored(folder, first, second)

    logger.remove()
    asyncio.run(scenario())


class RestartedNode:
    """Two processes of one node, and clients that keep sending requests during the hot restart.

    Attributes:
        folder: The folder of the hot restart's socket.
        address: Host and port on which both processes listen.
        executors: The `RunningExecutor`s.
        responses: The head of each response by request identifier.
        stopped_sending: Future that is done when the clients are to stop.
    """

    def __init__(self, folder):
        self.folder = folder
        self.address = ("127.0.0.1", free_port())
        self.executors = [RunningExecutor(f"s-{number}", {"k": self.address}) for number in range(3)]
        self.responses = {}
        self.stopped_sending = asyncio.get_running_loop().create_future()

    def rows(self):
        """Returns the endpoint list."""
        return [
            {**LISTED_ROW, "name": executor.name, "address": executor.address} for executor in self.executors
        ]

    async def start_process(self, rows):
        """Starts a process whose file has this endpoint list.

        Returns:
            The `Node`, its task, and the address of its admin API.
        """
        node_configuration = checked_configuration(
            node_file(
                listen="%s:%d" % self.address,
                folder=str(self.folder),
                console="127.0.0.1:%d" % free_port(),
                known={"index": 1, "endpoints": rows},
                settings={**SETTINGS, "operations": OPERATIONS},
            )
        )
        process = assemble(asyncio.get_running_loop(), node_configuration, lambda: node_configuration)
        serving = asyncio.create_task(process.serve())
        while process.phase != node.NodePhase.SERVING:
            await asyncio.sleep(0.01)
        return process, serving, node_configuration["console"]

    async def send_requests(self, name):
        """Sends requests one by one on a connection, which must not be closed."""
        connection = await asyncio.open_connection(*self.address)
        reader, writer = connection
        number = 0
        while not self.stopped_sending.done():
            request_id = f"k-{name}-{number}"
            operation = ("safe", "keyed", "unsafe")[number % 3]
            message = (
                f"POST /{operation}/k HTTP/1.1\r\nX-Request-ID: {request_id}\r\nX-Timeout-Ms: 8000\r\n"
                "Idempotency-Key: i\r\nContent-Length: 0\r\n\r\n"
            )
            self.responses[request_id] = await send_message(self.address, message.encode(), connection)
            await reader.readexactly(1)  # the result
            number += 1
        writer.close()


async def assert_bans_apply_to_both(old, new, old_admin, new_admin):
    """Asserts that a ban by an operator at either process applies to both; s-0 is already banned."""
    states = {endpoint.id: endpoint.state for endpoint in new.parts.host.dispatcher.endpoints.by_id.values()}
    assert states["s-0"] == "banned"
    assert b" 200 " in await send_message(new_admin, admin_call("s-1", "suspend"))
    assert b" 404 " in await send_message(new_admin, admin_call("s-9", "suspend"))
    await asyncio.sleep(MESSAGE_TIME_S)
    for process in (old, new):
        healthy = process.parts.host.dispatcher.endpoints.healthy
        assert [endpoint.id for endpoint in healthy] == ["s-2"]
    assert b" 200 " in await send_message(old_admin, admin_call("s-1", "resume"))


async def restart_under_load(folder):
    """Restarts a node while clients send requests; returns the responses and the executed jobs."""
    restarted = RestartedNode(folder)
    for executor in restarted.executors:
        await executor.start()
    old, old_serving, old_admin = await restarted.start_process(restarted.rows())
    silent_client = await asyncio.open_connection(*restarted.address)
    clients = [asyncio.create_task(restarted.send_requests(str(number))) for number in range(4)]
    await asyncio.sleep(0.3)
    assert b" 200 " in await send_message(old_admin, admin_call("s-0", "suspend"))
    new, _, new_admin = await restarted.start_process([])  # its file has an empty endpoint list
    assert b" 200 " in await send_message(new_admin, READY_CALL)
    await assert_bans_apply_to_both(old, new, old_admin, new_admin)
    await asyncio.sleep(0.1)
    responses_before = len(restarted.responses)
    old.stop()
    await asyncio.wait_for(old_serving, 3)
    assert len(restarted.responses) > responses_before  # open requests were answered before its end
    await asyncio.sleep(0.3)
    if old.parts.admin_api.connections:
        assert b" 503 " in await send_message(old_admin, READY_CALL)
    restarted.stopped_sending.set_result(None)
    await asyncio.gather(*clients)
    # A connection without requests so far was handed over too.
    assert b" 200 " in await send_message(restarted.address, HEALTH_CHECK, silent_client)
    assert new.parts.host.dispatcher.endpoints.healthy
    assert not old.parts.host.requests.pending
    assert not old.parts.listener.connections.accepted
    new.stop()
    for executor in restarted.executors:
        executor.server.close()
    return restarted.responses, [job for executor in restarted.executors for job in executor.jobs]


def test_hot_restart_under_load_answers_every_request_once(tmp_path):
    """A process takes over while clients keep sending on open connections.

    Possible failures: a client's connection is closed, a call-back is lost, a ban is lost, or an old endpoint
    list is applied.
    """
    responses, jobs = asyncio.run(restart_under_load(tmp_path))
    assert len(responses) > 20 and all(b" 200 " in head for head in responses.values()), responses
    assert sorted(jobs) == sorted(responses)  # each job ran exactly once


def test_reload_reaches_both_processes_and_a_starting_one(tmp_path):
    """A node's file changes while two processes serve, or while the second one starts.

    The signal reaches only one process, and the other has read the old file.
    """
    file = tmp_path / "config.json"
    content = node_file(folder=str(tmp_path), settings={**SETTINGS, "operations": OPERATIONS})
    read = configuration_reader(file)
    processes = []
    tasks = []

    def write(*names):
        operations = [{**OPERATIONS[0], "name": name} for name in names]
        file.write_bytes(orjson.dumps({**content, "settings": {**SETTINGS, "operations": operations}}))

    def operations_in_force():
        return [sorted(process.parts.listener.timeouts.current) for process in processes]

    async def start():
        processes.append(assemble(asyncio.get_running_loop(), read(), read))
        write("a", "b")  # during its start
        tasks.append(asyncio.create_task(processes[-1].serve()))
        while processes[-1].phase != node.NodePhase.SERVING:
            await asyncio.sleep(0.01)
        await asyncio.sleep(MESSAGE_TIME_S)

    async def scenario():
        write("a")
        await start()
        assert operations_in_force() == [["a", "b"]]
        await start()
        for number, names in ((0, "ac"), (1, "ad")):
            write(*names)
            processes[number].reload()
            await asyncio.sleep(MESSAGE_TIME_S)
            assert operations_in_force() == [[*names]] * 2
        processes[0].stop()
        write("e")
        processes[0].reload()  # this process is already stopping
        await asyncio.sleep(MESSAGE_TIME_S)
        assert operations_in_force()[1] == ["e"]
        # An invalid file changes nothing.
        file.write_bytes(b"{")
        processes[1].reload()
        assert operations_in_force()[1] == ["e"]
        processes[1].stop()
        await asyncio.gather(*tasks)

    asyncio.run(scenario())


def test_predecessor_exits_with_0_and_successor_answers(tmp_path):
    content = node_file()
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps(content))
    environ = {**os.environ, "BALANCER_CONFIG": str(file), "TMPDIR": str(tmp_path)}
    host, _, port = content["listen"].rpartition(":")
    processes = []
    try:
        for number in range(3):  # each takes over from the previous one
            process = subprocess.Popen(
                [sys.executable, "-m", "grebedyke"], stderr=subprocess.PIPE, text=True, env=environ
            )
            processes.append(process)
            assert any("-> serving" in line for line in process.stderr)
            if number:
                predecessor = processes[number - 1]
                assert any(
                    "a new process is serving alongside this one" in line for line in predecessor.stderr
                )
                predecessor.send_signal(signal.SIGTERM)
                assert predecessor.wait(5) == 0
            assert b" 200 " in asyncio.run(send_message((host, int(port)), HEALTH_CHECK))
    finally:
        for process in processes:
            process.kill()
            process.wait()
            process.stderr.close()
