"""Signals at a start and a stop, and what still comes in meanwhile."""

import asyncio
import os
import re
import resource
import signal
import subprocess
import sys
import time

import orjson
import pytest
from emulators import BlockingClient, DiscoveryEmulator, ExecutorEmulator, free_port, until
from node_harness import SETTINGS, NodeHarness

from grebedyke.service import node


def program(tmp_path, said, shell=False, preexec_fn=None, **more):
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps(said))
    with open("deploy/balancer.toml") as deploy:
        run = re.search(r'^run = "(.*)"$', deploy.read(), re.M)[1].replace(".venv/bin/python", sys.executable)
    return subprocess.Popen(
        ["/bin/sh", "-c", run] if shell else [sys.executable, "-m", "grebedyke"],
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=preexec_fn,
        env={**os.environ, "BALANCER_CONFIG": str(file), **more},
    ), file


def told(**more):
    return {
        "name": "n1",
        "listen": "127.0.0.1:%d" % free_port(),
        "discovery": "127.0.0.1:%d" % free_port(),
        "settings": SETTINGS,
        **more,
    }


def test_a_reload_that_is_told_before_the_program_has_begun_does_not_end_it(tmp_path):
    # In the interpreter's own start SIGHUP ends a process, for a tenth of a second: `run` ignores it before.
    work, _ = program(tmp_path, told(), shell=True)
    try:
        end = time.monotonic() + 20
        while not open(f"/proc/{work.pid}/cmdline", "rb").read().startswith(sys.executable.encode()):
            assert time.monotonic() < end  # the shell is still there
        work.send_signal(signal.SIGHUP)
        assert any("-> serving" in line for line in work.stderr)
        work.send_signal(signal.SIGTERM)
        assert work.wait(20) == 0
    finally:
        work.kill()
        work.wait()
        work.stderr.close()


def test_a_discovery_that_moves_during_the_start_is_followed(tmp_path):
    # The signal is disregarded then; settings and peers were alike in the file, so nothing was done.
    async def story():
        old, new = await DiscoveryEmulator().start(), await DiscoveryEmulator().start()
        said = told(discovery=old.address)
        work, file = program(tmp_path, said, BALANCER_DISCOVERY=old.address)
        try:
            await until(lambda: old.polls, "the first call, in the start")
            file.write_bytes(orjson.dumps({**said, "discovery": new.address}))
            work.send_signal(signal.SIGHUP)
            old.answer(1)
            await until(lambda: new.polls, "the new discovery")
            work.send_signal(signal.SIGTERM)
            return await asyncio.to_thread(work.wait, 20)
        finally:
            work.kill()
            work.wait()
            work.stderr.close()
            old.server.close(), new.server.close()

    assert asyncio.run(story()) == 0


@pytest.mark.parametrize("number", (signal.SIGTERM, signal.SIGINT))
def test_a_node_that_is_told_to_end_in_its_start_ends_with_0(tmp_path, number):
    async def story():
        discovery = await DiscoveryEmulator().start()
        work, _ = program(tmp_path, told(discovery=discovery.address))
        try:
            await until(lambda: discovery.polls, "the first call, in the start")
            work.send_signal(number)
            work.send_signal(number)
            return await asyncio.to_thread(work.wait, 20)
        finally:
            work.kill()
            work.wait()
            work.stderr.close()
            discovery.server.close()

    assert asyncio.run(story()) == 0


def test_a_signal_between_listening_and_serving_is_an_orderly_stop():
    # What was taken in between was lost with the program.
    async def story():
        executor = await ExecutorEmulator().start()
        harness = NodeHarness(executor.row(), waits=False)
        async with harness:
            listen, clients = harness.door.listen, []

            async def listening(*args):
                await listen(*args)
                clients.append(BlockingClient(harness.address).send_request())
                await until(lambda: b"r1" in harness.desk.owed, "that it is taken")
                os.kill(os.getpid(), signal.SIGTERM)
                await until(lambda: harness.node.told_to_end, "the signal")

            harness.door.listen = listening
            await until(lambda: harness.node.phase == node.Phase.STOPPING, "the stop")
            await until(lambda: executor.received, "the forward")
            await harness.call_back("done")
            answer = await clients[0].response()
            clients[0].leave()
            await asyncio.wait_for(harness.serving, 20)
        executor.server.close()
        return answer

    assert b" 200 " in asyncio.run(story())


def test_an_invocation_half_read_or_just_accepted_is_waited_for_by_a_stop():
    # Neither is an idle client nor owed an answer: the node ended between two bytes of it.
    async def story(half):
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            client, head = BlockingClient(harness.address), BlockingClient.request_head("r1", 3) + b"abc"
            client.socket.sendall(head[:half])
            await until(lambda: harness.door.connections.accepted, "the connection")
            settle, looked = harness.node.settle, []
            harness.node.settle = lambda *args: (looked.append(1), settle(*args))
            harness.node.stop()
            await until(lambda: len(looked) > 1 or harness.serving.done(), "a look at the end")
            client.socket.sendall(head[half:])
            await until(lambda: executor.received, "the forward")
            await harness.call_back("done")
            answer = await client.response()
            client.leave()
        executor.server.close()
        return answer

    for half in (0, 20):
        assert b" 200 " in asyncio.run(story(half))


def test_what_comes_after_the_last_moment_is_told_to_go_elsewhere():
    # In the 20 ms before the loop ends it was taken, sent on perhaps, and dropped; or errored at once.
    async def story():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            client = BlockingClient(harness.address)
            await until(lambda: harness.door.connections.accepted, "the connection")
            harness.node.stop()
            leave, left = harness.node.leave, []
            harness.node.leave = lambda: left.append(1)
            harness.node.finish()
            client.send_request()
            answer = await client.response()
            client.leave()
            await until(lambda: left, "the loop's end")
            leave()
        executor.server.close()
        return answer, executor.received

    answer, seen = asyncio.run(story())
    assert b" 503 " in answer and b"Connection: close" in answer and not seen


def test_a_crowd_of_silent_connections_does_not_stop_accepting(tmp_path):
    # They came while the node stood still, more than it has descriptors: asyncio's server met the limit, took
    # nobody for a second and again, and a client that had sent its invocation was never read.
    async def story():
        executor = await ExecutorEmulator().start()
        said = told(known={"index": 1, "endpoints": [executor.row()]}, limits={"sockets": 256})
        limit = resource.RLIMIT_NOFILE, (256, 256)
        work, _ = program(tmp_path, said, preexec_fn=lambda: resource.setrlimit(*limit))
        crowd, address = [], ("127.0.0.1", int(said["listen"].rpartition(":")[2]))
        try:
            while "-> serving" not in await asyncio.to_thread(work.stderr.readline):
                pass
            work.send_signal(signal.SIGSTOP)
            crowd += [BlockingClient(address) for _ in range(300)]
            crowd.append(BlockingClient(address).send_request())
            work.send_signal(signal.SIGCONT)
            await until(lambda: executor.received, "the forward")
            work.send_signal(signal.SIGTERM)
            for client in crowd:
                client.leave()
            assert await asyncio.to_thread(work.wait, 20) == 0
            return [line for line in work.stderr if "loop-fault" in line or "accept" in line]
        finally:
            work.kill()
            work.wait()
            work.stderr.close()
            executor.server.close()

    assert asyncio.run(story()) == []
