import asyncio
import os
import signal
import socket
import subprocess
import sys

import orjson
from loguru import logger
from test_service import EFFECTS, ROW, TERMS, Worker, ask, free_port, told

from grebedyke.checks import checked
from grebedyke.service import configuration, node
from grebedyke.service.assembly import assemble
from grebedyke.service.configuration.reading import NODE
from grebedyke.service.handover import PIECE, Channel, Handover


def pair(heard):
    """Both ends of a line; each end's messages go to heard(end, message, fds)."""
    ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    return [
        Channel(
            asyncio.get_running_loop(),
            sock,
            lambda _, *what, i=i: heard(i, *what),
            lambda _, i=i: heard(i, None, []),
        )
        for i, sock in enumerate(ends)
    ]


def test_a_line_carries_long_words_and_descriptors_in_order():
    async def story():
        got, done = [], asyncio.get_running_loop().create_future()

        def heard(end, message, fds):
            got.append((end, message, [os.fstat(fd).st_ino for fd in fds]))
            for fd in fds:
                os.close(fd)
            if message is None:
                done.set_result(None)

        here, there = pair(heard)
        with open(os.devnull) as file:
            words = [{"n": 1}, {"n": "x" * (5 * PIECE)}, *({"n": n} for n in range(500))]
            for word in words:
                here.send(word, file.fileno())
            inode = os.fstat(file.fileno()).st_ino
        # More than the kernel takes at once: the rest follows when there is room, with its descriptors.
        assert here.queue
        while len(got) < len(words):
            await asyncio.sleep(0.01)
        here.close()
        here.send({"n": 3})  # nobody is there: nothing
        await asyncio.wait_for(done, 2)
        assert (
            got == [(1, word, [inode]) for word in words] + [(0, None, []), (1, None, [])]
            and there.sock is None
        )

    asyncio.run(story())


def test_only_one_process_takes_over_and_odd_words_end_nothing(tmp_path):
    async def story():
        loop, taken, listening = asyncio.get_running_loop(), [], socket.socket()

        def process(**take):
            return Handover(
                loop,
                str(tmp_path / ("long" * 30)),
                "n/1",
                lambda: ({"list": [1]}, listening.fileno()),
                {"books": lambda message: taken.append(message), **take},
                taken.append,
            )

        os.mkdir(tmp_path / ("long" * 30))
        first, second, third = process(hand=lambda name: taken.append(name)), process(), process()
        assert await first.inherit() is None
        first.offer()
        listener = await second.inherit()
        assert listener is not None and taken == [True, True, {"list": [1]}]
        assert await third.inherit() is None  # the first one has its heir
        first.heir.send({"kind": "what"})  # of another build
        await asyncio.sleep(0.05)
        assert taken[3:] == [False] * 3 and not first.ready
        # An heir that ends before its time leaves the first one to be found by the next.
        assert await third.inherit() is not None
        third.offer()
        await asyncio.sleep(0.05)
        assert first.ready and not first.server
        third.tell("hand", name="s-1")
        third.tell("hand", odd=1)
        await asyncio.sleep(0.05)
        assert taken[-1] == "s-1" and first.ready
        third.close()
        await asyncio.sleep(0.05)
        assert not first.ready and first.server
        listener.close(), listening.close()
        first.close()
        assert os.listdir(tmp_path / ("long" * 30)) == []
        # A killed process leaves its socket behind.
        first.offer()
        first.withdraw()
        assert await second.inherit() is None

    logger.remove()
    asyncio.run(story())


def test_a_new_process_takes_over_under_load(tmp_path):
    # Guards against a close under a client, a call-back that finds nobody, a forgotten ban, an old list.
    async def story():
        address, loop = ("127.0.0.1", free_port()), asyncio.get_running_loop()
        workers = [await Worker(f"s-{i}", {"k": address}).start() for i in range(3)]
        rows = [{**ROW, "name": w.name, "address": w.address} for w in workers]

        def process(known):
            said = told(
                listen="%s:%d" % address,
                folder=str(tmp_path),
                console="127.0.0.1:%d" % free_port(),
                known={"index": 1, "endpoints": known},
                settings={**TERMS, "operations": EFFECTS},
            )
            said = checked(NODE, said)
            said["settings"] = configuration.terms(said["settings"])
            work = assemble(loop, said, lambda: said)
            return work, loop.create_task(work.serve()), said["console"]

        async def serving(work):
            while work.phase != node.Phase.SERVING:
                await asyncio.sleep(0.01)

        stop, answers = loop.create_future(), {}

        async def client(name):
            """Hands in one after the other on one connection, which nobody may close."""
            kept, n = await asyncio.open_connection(*address), 0
            while not stop.done():
                id = f"k-{name}-{n}"
                operation = ("safe", "keyed", "unsafe")[n % 3]
                answers[id] = await ask(
                    address,
                    (
                        f"POST /{operation}/k HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 8000\r\n"
                        "Idempotency-Key: i\r\nContent-Length: 0\r\n\r\n"
                    ).encode(),
                    kept,
                )
                await kept[0].readexactly(1)  # the result
                n += 1
            kept[1].close()

        old, ended, console = process(rows)
        await serving(old)
        silent = await asyncio.open_connection(*address)
        clients = [loop.create_task(client(str(i))) for i in range(4)]
        await asyncio.sleep(0.3)
        post = b"POST /v1/executors/%s/suspend HTTP/1.1\r\n\r\n"
        assert b" 200 " in await ask(console, post % b"s-0")
        new, _, second = process([])  # its file names no executor at all
        await serving(new)
        assert b" 200 " in await ask(second, b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        assert {e.state for e in new.desk.dispatcher.endpoints.by_id.values() if e.id == "s-0"} == {"banned"}
        # Both are one node: a call at either binds both.
        assert b" 200 " in await ask(second, post % b"s-1") and b" 404 " in await ask(second, post % b"s-9")
        await asyncio.sleep(0.05)
        for work in (old, new):
            assert [e.id for e in work.desk.dispatcher.endpoints.healthy] == ["s-2"]
        assert b" 200 " in await ask(console, (post % b"s-1").replace(b"suspend", b"resume"))
        await asyncio.sleep(0.1)
        before = len(answers)
        old.stop()
        await asyncio.wait_for(ended, 3)
        assert len(answers) > before  # what it owed at its end has been answered
        await asyncio.sleep(0.3)
        assert (
            b" 503 " in await ask(console, b"GET /v1/readyz HTTP/1.1\r\n\r\n")
            if old.console.callers
            else True
        )
        stop.set_result(None)
        await asyncio.gather(*clients)
        # Who had said nothing yet is not forgotten either.
        assert b" 200 " in await ask(address, b"GET /up HTTP/1.1\r\n\r\n", silent)
        assert (
            [e.id for e in new.desk.dispatcher.endpoints.healthy]
            and not old.desk.owed
            and not old.door.connections.accepted
        )
        new.stop()
        for worker in workers:
            worker.server.close()
        return answers, [job for worker in workers for job in worker.jobs], workers[0].jobs

    answers, jobs, banned = asyncio.run(story())
    assert len(answers) > 20 and all(b" 200 " in head for head in answers.values()), answers
    assert sorted(jobs) == sorted(answers)  # each ran, and none twice


def test_new_settings_reach_both_processes_and_one_that_is_starting(tmp_path):
    # The signal goes to one process; the other read the file before it was changed.
    file = tmp_path / "config.json"
    said = told(folder=str(tmp_path), settings={**TERMS, "operations": EFFECTS})

    def write(*names):
        rows = [{**EFFECTS[0], "name": name} for name in names]
        file.write_bytes(orjson.dumps({**said, "settings": {**TERMS, "operations": rows}}))

    async def story():
        loop, works, tasks = asyncio.get_running_loop(), [], []

        def read():
            return configuration.read_node({"BALANCER_CONFIG": str(file)})

        def taken():
            return [sorted(work.door.timeouts.current) for work in works]

        async def start():
            works.append(assemble(loop, read(), read))
            write("a", "b")  # while it starts
            tasks.append(loop.create_task(works[-1].serve()))
            while works[-1].phase != node.Phase.SERVING:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)

        write("a")
        await start()
        assert taken() == [["a", "b"]]
        await start()
        for i, names in ((0, "ac"), (1, "ad")):
            write(*names)
            works[i].reload()
            await asyncio.sleep(0.05)
            assert taken() == [[*names]] * 2
        works[0].stop()
        write("e")
        works[0].reload()  # to the one that stops already
        await asyncio.sleep(0.05)
        assert taken()[1] == ["e"]
        # A faulty file leaves both as they are.
        file.write_bytes(b"{")
        works[1].reload()
        assert taken()[1] == ["e"]
        works[1].stop()
        await asyncio.gather(*tasks)

    asyncio.run(story())


def test_the_old_process_ends_with_0_and_the_new_one_answers(tmp_path):
    said = told()
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps(said))
    environ = {**os.environ, "BALANCER_CONFIG": str(file), "TMPDIR": str(tmp_path)}
    works = []
    try:
        for i in range(3):  # each takes over from the one before
            works.append(
                subprocess.Popen(
                    [sys.executable, "-m", "grebedyke"], stderr=subprocess.PIPE, text=True, env=environ
                )
            )
            assert any("-> serving" in line for line in works[i].stderr)
            if i:
                assert any("a new process serves beside this one" in line for line in works[i - 1].stderr)
                works[i - 1].send_signal(signal.SIGTERM)
                assert works[i - 1].wait(5) == 0
            host, _, port = said["listen"].rpartition(":")
            assert b" 200 " in asyncio.run(ask((host, int(port)), b"GET /up HTTP/1.1\r\n\r\n"))
    finally:
        for work in works:
            work.kill()
            work.wait()
            work.stderr.close()
