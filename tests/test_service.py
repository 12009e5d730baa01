import asyncio
import os
import signal
import socket
import subprocess
import sys

import orjson
import pytest
from loguru import logger
from socketless_node import (
    NOW,
    REQUEST,
    CallRecorder,
    FakeEventLoop,
    SocketlessNode,
    call_back_message,
    connect,
    frozen_batches,
    receive,
)

from grebedyke.checks import checked
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import EndpointsChanged
from grebedyke.service import configuration, node
from grebedyke.service.assembly import assemble
from grebedyke.service.configuration.reading import NODE
from grebedyke.service.log import Gauges
from grebedyke.service.reload import reload
from grebedyke.service.turn import Turn
from grebedyke.wire.discovery_client import DiscoveryClient, DiscoveryConnection, DiscoverySettings
from grebedyke.wire.endpoint_rows import ListedEndpoint
from grebedyke.wire.peer_socket import PeerSocket

TERMS = {
    "balancers": 1,
    "me": 0,
    "tickMs": 5,
    "zone": "a",
    "operations": [
        {"name": "op", "idempotency": "unsafe", "latencyObjectiveMs": 200, "clientTimeoutMs": 4000}
    ],
    "limits": {"maxForwards": 5, "connIdleMs": 5000, "connectTimeoutMs": 250},
    "rules": {
        "coldFrom": 0.3,
        "rampTimeMs": 8000,
        "tipAfterMs": 1000,
        "fallMultiple": 3,
        "drainGraceMs": 500,
    },
}
ROW = {"name": "s-1", "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 0, "status": "Ready"}


KEYED = {
    "name": "op",
    "idempotency": "keyed",
    "latencyObjectiveMs": 200,
    "clientTimeoutMs": 4000,
    "windowMs": 9,
    "group": "zone",
}


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def told(**more):
    return {
        "name": "n1",
        "listen": "127.0.0.1:%d" % free_port(),
        "discovery": "127.0.0.1:%d" % free_port(),
        "settings": TERMS,
        **more,
    }


def changed(path, value):
    """The configuration with one value changed."""
    said = orjson.loads(orjson.dumps(told(known={"index": 1, "endpoints": [ROW]})))
    *way, last = path
    place = said
    for key in way:
        place = place[key]
    place[last] = value
    return said


def test_faults_in_the_configuration_name_their_key(tmp_path):
    for path, value, words in (
        (("listen",), "9000", "listen is not host:port"),
        (("discovery",), "h:0", "discovery is not host:port"),
        (("name",), None, "name is missing"),
        (("limits",), {"sockets": 3}, "limits.sockets is out of its range"),
        (("known", "endpoints", 0, "address"), "x", "known.endpoints[0].address is not host:port"),
        (("settings", "rules", "coldFrom"), None, "settings.rules.coldFrom is missing"),
        (("settings", "me"), 1, "settings.me is out of its range"),
        (("settings", "tickMs"), True, "settings.tickMs"),
        (("settings", "operations"), [], "settings.operations is missing"),
        (("settings", "operations", 0, "idempotency"), "keyed", "settings.operations[0].windowMs is missing"),
        (("settings", "operations", 0, "group"), "row", "settings.operations[0].group is unknown"),
        (("settings", "operations", 0), {**KEYED, "group": None}, "settings.operations[0].group is missing"),
        (
            ("settings", "operations", 0, "clientTimeoutMs"),
            None,
            "settings.operations[0].clientTimeoutMs is missing",
        ),
        (
            ("settings", "operations", 0, "clientTimeoutMs"),
            0,
            "settings.operations[0].clientTimeoutMs is out of its range",
        ),
        (("settings", "limits"), None, "settings.limits is missing"),
        (("settings", "limits", "maxForwards"), None, "settings.limits.maxForwards is missing"),
        (("settings", "limits", "maxForwards"), 0, "settings.limits.maxForwards is out of its range"),
        (("settings", "limits"), {**TERMS["limits"], "peerMessages": "yes"}, "settings.limits.peerMessages"),
        (("peers",), ["x"], "peers[0] is not host:port"),
        (("peers",), ["h:1", "h:2"], "peers has 2 of 1 nodes"),
        (("settings", "registryMode"), "pull", "settings.registryMode is unknown"),
        (("settings", "familyInfo"), {"tellsStart": 1}, "settings.familyInfo.tellsStart"),
    ):
        file = tmp_path / "config.json"
        file.write_bytes(orjson.dumps(changed(path, value)))
        with pytest.raises(
            configuration.ConfigurationError, match=words.replace("[", r"\[").replace("]", r"\]")
        ):
            configuration.read_node({"BALANCER_CONFIG": str(file)})
    for text, words in (("{", "not JSON"), ("[]", "not an object")):
        file.write_text(text)
        with pytest.raises(configuration.ConfigurationError, match=words):
            configuration.read_node({"BALANCER_CONFIG": str(file)})
    for environ, words in (
        ({}, "is missing"),
        ({"BALANCER_CONFIG": str(tmp_path / "none")}, "cannot be read"),
    ):
        with pytest.raises(configuration.ConfigurationError, match=words):
            configuration.read_node(environ)


def test_the_environment_goes_before_the_file(tmp_path):
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps(told()))
    said = configuration.read_node({"BALANCER_CONFIG": str(file), "BALANCER_LISTEN": "127.0.0.7:81"})
    assert said["listen"] == ("127.0.0.7", 81) and said["settings"]["limits"]["maxForwards"] == 5


def test_the_program_ends_with_2_at_a_fault_and_with_0_after_sigterm(tmp_path):
    for said, code in ((changed(("settings", "tickMs"), 0), 2), (told(), 0)):
        file = tmp_path / "config.json"
        file.write_bytes(orjson.dumps(said))
        work = subprocess.Popen(
            [sys.executable, "-m", "grebedyke"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "BALANCER_CONFIG": str(file)},
        )
        word = "settings.tickMs" if code else "n1 phase starting -> serving"
        try:
            assert any(word in line for line in work.stderr)
            if code == 0:
                work.send_signal(signal.SIGTERM)
            assert work.wait(10) == code
        finally:
            work.kill()
            work.wait()
            work.stderr.close()


class Executor:
    """A stand-in: takes jobs with 202, and calls back when the test says so."""

    async def start(self):
        self.seen, self.server = asyncio.Queue(), await asyncio.start_server(self.talk, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def talk(self, reader, writer):
        while line := await reader.readline():
            while (head := await reader.readline()) not in (b"\r\n", b""):
                if head.lower().startswith(b"content-length"):
                    # The length stands last in what nodes send.
                    await reader.readexactly(int(head[15:]) + 2)
                    break
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            await self.seen.put(line)


async def ask(address, data, kept=None):
    """One message on a connection of its own, or on a `kept` one; the head of what comes back."""
    reader, writer = kept or await asyncio.open_connection(*address)
    writer.write(data)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 8)
    if not kept:
        writer.close()
    return head


def test_sigterm_while_an_executor_still_calls_back(monkeypatch):
    # New connections and call-backs go on coming while what is owed is waited for.
    monkeypatch.setattr(node, "LAST", 10_000)

    async def story(calls_back):
        executor = await Executor().start()
        said = checked(NODE, told(known={"index": 1, "endpoints": [{**ROW, "address": executor.address}]}))
        said["settings"] = configuration.terms(said["settings"])
        work = assemble(asyncio.get_running_loop(), said, None)
        serving, address = asyncio.create_task(work.serve()), said["listen"]
        while work.phase != node.Phase.SERVING:
            await asyncio.sleep(0.01)
        assert b" 200 " in await ask(address, b"GET /up HTTP/1.1\r\n\r\n")
        kept = await asyncio.open_connection(*address)
        owed = asyncio.create_task(ask(address, REQUEST, kept))
        assert (await executor.seen.get()).startswith(b"POST /op/k?q=1 ")
        work.stop()
        assert b" 503 " in await ask(address, b"GET /up HTTP/1.1\r\n\r\n")
        if calls_back:
            assert b" 204 " in await ask(address, call_back_message("done", more=',"result":"x"'))
            # A node's clients may have no other node: what they have open serves until shortly before the
            # end.
            answer, _ = await owed, await asyncio.sleep(0.7)
            second = asyncio.create_task(ask(address, REQUEST.replace(b"r1", b"r2"), kept))
            await asyncio.wait_for(executor.seen.get(), 2)
            assert b" 204 " in await ask(address, call_back_message("done", request_id="r2"))
            assert b" 200 " in await second
        answer = answer if calls_back else await owed
        await asyncio.wait_for(serving, 5)
        if not calls_back:
            assert (await asyncio.wait_for(executor.seen.get(), 1)).startswith(b"DELETE /jobs/r1 ")
        executor.server.close()
        return answer, work.phase

    for calls_back, status in ((True, b" 200 "), (False, b" 500 ")):
        answer, phase = asyncio.run(story(calls_back))
        assert status in answer and phase == node.Phase.STOPPED
        assert (b"Connection: close" in answer) == (not calls_back)


def test_words_come_from_named_nodes_only_and_may_be_odd(tmp_path):
    async def story():
        loop, heard = asyncio.get_running_loop(), []
        turn = frozen_batches(FakeEventLoop())
        turn.put = lambda call, *args: call(NOW, *args)
        nodes = [PeerSocket(loop, turn, lambda now, *args: heard.append(args)) for _ in range(3)]
        addresses = [("127.0.0.1", free_port()) for _ in nodes]
        for i, peers in enumerate(nodes):
            peers.set_peers(addresses[:2] if i < 2 else addresses, i)  # the first two do not know the third
            await peers.open_task
        for by, to, body in ((1, 0, b"x" * 257), (2, 0, b"stranger"), (1, 0, b"word"), (1, 7, b"none")):
            nodes[by].send(to, body)
        nodes[1].set_peers([], 0)
        nodes[1].send(0, b"closed")
        await asyncio.sleep(0.05)
        nodes[0].close(), nodes[2].close()
        return heard

    assert asyncio.run(story()) == [(1, b"word")]


def test_an_address_that_another_process_holds_is_tried_until_it_is_free():
    # A process that took over was deaf to the others for good when its one try came a moment too early.
    async def story(moves):
        loop, port = asyncio.get_running_loop(), free_port()
        holder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        holder.bind(("127.0.0.1", port))
        peers = PeerSocket(loop, frozen_batches(FakeEventLoop()), None)
        if moves:
            peers.set_peers([("127.0.0.1", free_port())], 0)  # is still being opened when it moves on
        peers.set_peers([("127.0.0.1", port)], 0)
        await asyncio.sleep(0.05)
        assert not peers.transport and peers.failing
        holder.close()
        for _ in range(200):
            if peers.transport:
                break
            await asyncio.sleep(0.05)
        heard = peers.transport and peers.transport.get_extra_info("sockname")[1]
        peers.close()
        return heard == port

    assert all(asyncio.run(story(moves)) for moves in (False, True))


def test_phases_have_one_way():
    for phase, to in (
        (node.Phase.SERVING, node.Phase.STARTING),
        (node.Phase.STOPPED, node.Phase.SERVING),
        (node.Phase.STARTING, node.Phase.STOPPING),
    ):
        assert to not in node.ALLOWED[phase]


def test_what_a_turn_gives_rise_to_waits_for_the_next():
    loop, seen = FakeEventLoop(), []
    turn = Turn(loop, Gauges())
    decisions = [("a",), None, ("b",), None]
    turn.decide = lambda now: decisions.pop(0) if decisions else None
    turn.carry = lambda now, decision: (seen.append(decision[0]), turn.put(lambda now: seen.append("input")))
    turn.put(lambda now: seen.append("first"))
    turn.put(lambda now: seen.append("second"))
    loop.ready.pop(0)()
    assert seen == ["first", "second", "a"] and len(loop.ready) == 1
    loop.run_ready()
    assert seen == ["first", "second", "a", "input", "b", "input"]


def test_limits_fire_in_order_after_the_inputs():
    # An end that is here already goes before the forward's time limit, as after a stall.
    loop, seen = FakeEventLoop(), []
    turn = Turn(loop, Gauges())
    turn.decide = lambda now: None
    for at in (3, 1, 2):
        turn.at(at, lambda now, at=at: seen.append(at))
    turn.put(lambda now: seen.append("input"))
    loop.run_ready()
    assert seen == ["input", 1, 2, 3]


def lists(*answers, again=10_000, quick=False):
    """A watch that is given these answers; what it tells and asks."""
    loop, told_ = FakeEventLoop(), CallRecorder()
    turn = frozen_batches(loop)
    turn.decide = lambda now: None
    watch = DiscoveryClient(
        loop,
        turn,
        ("127.0.0.1", 1),
        41,
        DiscoverySettings(50_000, 10_000, again, again),
        on_list=told_.listed,
        on_failure=told_.unlisted,
    )
    watch.connection = connect(DiscoveryConnection(watch))
    watch.poll()
    transport = watch.connection.transport
    for answer in answers:
        watch.poll_started -= 0 if quick else 50_000
        body = orjson.dumps(answer) if isinstance(answer, dict) else answer
        receive(watch.connection, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body, 11)
        loop.run_ready()
        if watch.connection is None or transport.closing:
            break
    loop.run_ready()
    return watch, told_.calls, transport.written


def test_a_watch_follows_at_once_and_tells_changes_from_whole_lists():
    row = ("s-1", ("127.0.0.1", 9), "a", "m", 0, "healthy", 0, 1)
    _, heard, asked = lists(
        {"index": 42, "snapshot": False, "endpoints": []},
        {"index": 43, "snapshot": True, "endpoints": [ROW]},
        {"index": 44, "snapshot": False, "endpoints": [{**ROW, "status": "Terminating"}]},
    )
    assert heard == [("listed", True, [row]), ("listed", False, [(*row[:5], "draining", *row[6:])])]
    # The first call asks for what the agent has; those after it wait for what comes.
    assert [line.split()[1] for line in asked.split(b"\r\n") if line.startswith(b"GET")] == [
        b"/discovery/hosts?after=%d&wait_ms=%d" % (n, 5000 if n > 41 else 0) for n in (41, 42, 43, 44)
    ]


def test_a_discovery_that_does_not_wait_is_not_asked_without_a_pause():
    for quick, row, asks in ((True, [], 1), (True, [ROW], 2), (False, [], 2)):
        watch, _, asked = lists({"index": 42, "endpoints": row}, quick=quick)
        assert asked.count(b"GET ") == asks
        if asks == 1:
            next(call for _, _, call, _ in watch.batch.limits if call == watch.poll)(0)
            watch.loop.run_ready()
            assert watch.connection.transport.written.count(b"GET ") == 2


def test_the_log_has_the_first_few_of_what_a_bad_peer_does():
    gauges = Gauges()
    assert [gauges.few("odd") for _ in range(7)] == [True] * 5 + [False] * 2 and gauges.counts["odd"] == 7
    gauges.report()
    assert gauges.few("odd")


def test_a_line_of_the_list_without_an_address_costs_no_other():
    _, heard, _ = lists(
        {"index": 42, "snapshot": True, "endpoints": [{**ROW, "name": "s-0", "address": "?"}, ROW]}
    )
    assert [(row[0], row[5]) for row in heard[0][2]] == [("s-0", "gone"), ("s-1", "healthy")]


def test_a_list_of_odd_and_repeated_lines_or_an_older_version_is_survived():
    odd = [
        None,
        5,
        {},
        {"name": 7},
        {"name": ""},
        {**ROW, "name": "s-9", "status": 3},
        {**ROW, "name": "s-8", "address": "h:99999"},
        {**ROW, "name": "s-7", "since_ms": "x", "weight": None},
    ]
    lines = []
    sink = logger.add(lambda text: lines.append(str(text)))
    try:
        watch, heard, asked = lists(
            {"index": 42, "snapshot": True, "endpoints": odd * 2_000 + [ROW, ROW]},
            {"index": 7, "snapshot": False, "endpoints": [{**ROW, "status": "Gone"}]},
        )
    finally:
        logger.remove(sink)
    assert {row[0] for row in heard[0][2] if row[5] == "healthy"} == {"s-1", "s-7"} and len(heard) == 1
    assert len(lines) == 2  # guards against a line each: the log is no part of the list
    # What is older is not applied; the next ask is for the whole list, which is taken whatever its version.
    assert watch.version is None and not watch.polling
    next(call for _, _, call, _ in watch.batch.limits if call == watch.poll)(0)
    watch.loop.run_ready()
    asked = b"GET /discovery/hosts HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n"
    assert watch.connection.transport.written.endswith(asked)


def test_an_answer_that_is_no_list_or_silence_is_a_failed_watch():
    for answer in (b"{", b"[]", b'{"endpoints":[]}', b'{"index":1,"endpoints":[{}]}', None):
        watch, heard, _ = lists(*(() if answer is None else (answer,)))
        if answer is None:
            watch.poll_timed_out(0, watch.poll_number - 1)  # of an earlier watch
            assert watch.polling
            watch.poll_timed_out(0, watch.poll_number)
        else:
            watch.connection.connection_lost(None)
        watch.loop.run_ready()
        assert not watch.polling and watch.connection is None
        again = [x for x in watch.batch.limits if x[2] == watch.poll]
        assert len(again) == 1  # a push site's node goes on asking by itself


def test_a_moved_watch_asks_anew_and_is_deaf_to_the_old_discovery():
    # Versions of two agents are not comparable, and the old one's close is no failure of discovery.
    watch, heard, _ = lists()
    old = watch.connection
    watch.move("127.0.0.1", 1)
    assert watch.connection is old  # the same address: nothing to do
    watch.move("127.0.0.2", 2)
    watch.poll_timed_out(0, 1)
    receive(
        old, b"HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n" + b'{"index":99,"snapshot":true,"endpoints":[]}'
    )
    old.connection_lost(None)
    watch.loop.run_ready()
    assert old.transport.closing and watch.polling and not heard and watch.version is None
    watch.connection = connect(DiscoveryConnection(watch))
    watch.send_poll()
    watch.loop.run_ready()
    assert watch.connection.transport.written.startswith(
        b"GET /discovery/hosts HTTP/1.1\r\nHost: 127.0.0.2:2\r\n"
    )


def test_a_connect_of_the_old_watch_does_not_end_the_new_one(monkeypatch):
    async def story(refused):
        loop, told_, opened = asyncio.get_running_loop(), CallRecorder(), []
        turn = frozen_batches(FakeEventLoop())
        watch = DiscoveryClient(
            loop,
            turn,
            ("127.0.0.1", 1),
            41,
            DiscoverySettings(50_000, 10_000, 10_000, 10_000),
            on_list=told_.listed,
            on_failure=told_.unlisted,
        )

        async def create_connection(make, host, port):
            opened.append(port)
            if port == 1:
                await asyncio.sleep(0.01)
                if refused:
                    raise OSError
            agent = connect(make())
            return agent.transport, agent

        monkeypatch.setattr(loop, "create_connection", create_connection)
        watch.poll()
        await asyncio.sleep(0)
        late, watch.connect_task = watch.connect_task, None  # as if it were past being cancelled
        watch.move("127.0.0.2", 2)
        await asyncio.gather(late, watch.connect_task)
        return opened, watch, turn

    for refused in (True, False):
        opened, watch, turn = asyncio.run(story(refused))
        assert opened == [1, 2] and watch.polling and not watch.failing and not turn.inbox
        assert not watch.connection.transport.closing


def test_a_reload_follows_the_files_discovery_and_refuses_a_faulty_file(tmp_path):
    # SIGHUP ended the program, with all that it had taken.
    said, moved = told(), "127.0.0.1:%d" % free_port()
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps(said))
    work = subprocess.Popen(
        [sys.executable, "-m", "grebedyke"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "BALANCER_CONFIG": str(file), "BALANCER_DISCOVERY": said["discovery"]},
    )
    try:
        for text, words in (
            (None, "-> serving"),
            (b"{", "reload refused"),
            (orjson.dumps({**said, "discovery": "?"}), "setting discovery is not host:port"),
            (orjson.dumps({**said, "discovery": moved}), f"discovery at {moved} (moved)"),
        ):
            if text:
                file.write_bytes(text)
                work.send_signal(signal.SIGHUP)
            assert any(words in line for line in work.stderr), words
        work.send_signal(signal.SIGTERM)
        assert work.wait(10) == 0
    finally:
        work.kill()
        work.wait()
        work.stderr.close()


def test_a_restart_is_told_on_the_modules_clock():
    place = SocketlessNode()
    place.desk.shift = -5_000
    place.desk.listed(
        0,
        True,
        [ListedEndpoint("s-1", ("127.0.0.1", 9), "a", "m", 0, "healthy", since, 1) for since in (0, 700)],
    )
    assert [row.started_at for row in place.dispatcher.events[0].rows] == [0, 2_000]


class Worker(Executor):
    """Runs two jobs at once, each for a while, and calls back the node that the job's id begins with."""

    def __init__(self, name, nodes):
        self.name, self.nodes, self.jobs, self.room, self.calls = name, nodes, [], asyncio.Semaphore(2), set()

    async def talk(self, reader, writer):
        while line := await reader.readline():
            head = {}
            while (row := await reader.readline()) not in (b"\r\n", b""):
                key, _, value = row.strip().partition(b": ")
                head[key.lower()] = value
            await reader.readexactly(int(head.get(b"content-length", 0)))
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            if line.startswith(b"POST"):
                self.jobs.append(head[b"x-request-id"].decode())
                self.calls.add(asyncio.create_task(self.run(self.jobs[-1])))

    async def run(self, id):
        async with self.room:
            for state, more in (("started", ""), ("done", ',"result":"x","load":{"x0":1}')):
                await ask(self.nodes[id[0]], call_back_message(state, self.name, id, more))
                await asyncio.sleep(0.1 if state == "started" else 0)


EFFECTS = [
    {
        "name": name,
        "idempotency": name,
        "group": "all",
        "windowMs": 9000,
        "latencyObjectiveMs": 3000,
        "clientTimeoutMs": 8000,
    }
    for name in ("safe", "keyed", "unsafe")
]


async def one_answer(address, operation, id):
    """The whole of what comes on a connection that the node ends after its answer."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        b"POST /%s/k HTTP/1.1\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 8000\r\nIdempotency-Key: i\r\n"
        b"Connection: close\r\nContent-Length: 0\r\n\r\n" % (operation.encode(), id.encode())
    )
    text = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return text


def test_settings_switch_forth_and_back_under_work_of_every_effect(tmp_path):
    # Guards against a switch that loses, repeats or orphans what was taken: books, what is held and what is
    # lent.
    async def story():
        addresses = {"a": ("127.0.0.1", free_port()), "b": ("127.0.0.1", free_port())}
        workers = [await Worker(f"s-{i}", addresses).start() for i in range(3)]
        known = {"index": 1, "endpoints": [{**ROW, "name": w.name, "address": w.address} for w in workers]}
        peers, files, works, serving = ["127.0.0.1:%d" % free_port() for _ in "ab"], {}, {}, []

        def say_(name, other):
            limits = {**TERMS["limits"], "peerMessages": other, "probes": False}
            more = [{**EFFECTS[0], "name": "more"}] if other else []
            conf = {
                **TERMS,
                "operations": EFFECTS + more,
                "limits": limits,
                "balancers": 2,
                "me": "ab".index(name),
                "parties": [{"name": "t", "quotaRps": 9}],
                "familyInfo": {"tellsStart": not other},
            }
            files[name].write_bytes(
                orjson.dumps(
                    told(
                        name=name,
                        listen="%s:%d" % addresses[name],
                        known=known,
                        settings=conf,
                        peers=peers if other else [],
                    )
                )
            )

        for name in "ab":
            files[name] = tmp_path / name
            say_(name, False)
            environ = {"BALANCER_CONFIG": str(files[name])}
            works[name] = assemble(
                asyncio.get_running_loop(),
                configuration.read_node(environ),
                lambda environ=environ: configuration.read_node(environ),
            )
            serving.append(asyncio.create_task(works[name].serve()))
        while any(work.phase != node.Phase.SERVING for work in works.values()):
            await asyncio.sleep(0.01)
        answers, words = {}, 0
        for i in range(72):
            name, operation = "ab"[i % 2], ("safe", "keyed", "unsafe")[i % 3]
            id = f"{name}-{i}"
            answers[id] = asyncio.create_task(one_answer(addresses[name], operation, id))
            await asyncio.sleep(0.02)
            if i % 12 == 5:  # one node after the other, forth and back three times
                say_("a", i % 24 == 5)
                works["a"].reload()
            elif i % 12 == 9:
                say_("b", i % 24 == 9)
                works["b"].reload()
            elif i == 34:  # faulty: the settings stay in force whole
                before = works["a"].desk.dispatcher.context.uses_coordinators
                files["a"].write_bytes(
                    orjson.dumps(
                        {
                            **orjson.loads(files["a"].read_bytes()),
                            "settings": {**TERMS, "operations": EFFECTS, "tickMs": -1},
                        }
                    )
                )
                works["a"].reload()
                assert (
                    works["a"].desk.dispatcher.context.uses_coordinators == before
                    and works["a"].desk.dispatcher.context.settings.scheduling_interval == 50
                )
            words += sum(len(work.desk.dispatcher.lending.leases) for work in works.values())
        texts = {id: await answer for id, answer in answers.items()}
        assert words and not any(work.desk.dispatcher.context.uses_coordinators for work in works.values())
        assert all(not work.desk.owed and not work.desk.dispatcher.requests for work in works.values())
        assert all(
            not e.slots_in_use for work in works.values() for e in work.desk.dispatcher.endpoints.healthy
        )
        assert b" 404 " in await one_answer(addresses["a"], "more", "a-x")
        for work in works.values():
            work.stop()
        await asyncio.gather(*serving)
        for worker in workers:
            worker.server.close()
        return texts, sorted(id for worker in workers for id in worker.jobs)

    texts, jobs = asyncio.run(story())
    assert all(
        text.startswith(b"HTTP/1.1 200") and text.count(b"HTTP/1.1 ") == 1 for text in texts.values()
    ), texts
    assert jobs == sorted(texts)  # each ran, and none twice


def with_its_rules(table):
    """The endpoint table and the rules that it is put together of."""
    return table, table.slow_start, table.credit, table.load, table.speeds, table.lateness, table.coordinators


def test_a_switch_takes_every_term_over_and_back():
    # Guards against a setting that a part copies at start and keeps: half of the old ones would stay in
    # force.
    one = configuration.terms(orjson.loads(orjson.dumps(TERMS)))
    two = configuration.terms(
        {
            **TERMS,
            "balancers": 70,
            "me": 3,
            "tickMs": 4,
            "zone": "b",
            "operations": [*EFFECTS, {**EFFECTS[0], "name": "more"}],
            "limits": {
                "maxForwards": 3,
                "mayCancel": True,
                "retryAfter": True,
                "maxRetryAfterMs": 900,
                "probes": True,
                "peerMessages": True,
                "maxOpen": 99,
            },
            "prices": {"crossZone": 0.1},
            "registryMode": "ask",
            "rules": {
                "coldFrom": 0.2,
                "rampTimeMs": 900,
                "tipAfterMs": 500,
                "fallMultiple": 2,
                "drainGraceMs": 50,
            },
            "familyInfo": {"tellsStart": True, "progressMs": 700},
            "parties": [{"name": "t", "quotaRps": 9}],
            "billedValueBy": "work",
        }
    )

    def seen(d):
        shown = {}
        for part in (*with_its_rules(d.endpoints), d.cutoffs, d.quotas):
            for name, value in vars(part).items():
                if isinstance(value, (int, float, str, bool)):
                    shown[type(part).__name__, name] = value
        settings = d.context.settings
        shown |= settings._replace(operations=None, peer_operations=None)._asdict()
        shown["coordinators"] = d.context.uses_coordinators
        names = [op.name for op in settings.peer_operations]
        return shown, names, d.quotas.tenants, d.quotas.quotas, sorted(d.endpoints.groups)

    def fresh(conf):
        d = configuration.open_dispatcher("1", conf)
        d.handle(10, EndpointsChanged(True, [EndpointRow("s-1", "b", "m", 0, "healthy", 0, 1)]))
        return d

    d = fresh(one)
    for conf in (two, one, two):
        assert seen(d) != seen(fresh(conf))
        reload(20, d, configuration.open_dispatcher("1", conf))
        assert seen(d) == seen(fresh(conf))


def test_a_reload_with_a_fault_names_its_key_and_changes_nothing(tmp_path):
    file, lines = tmp_path / "config.json", []
    sound = told(known={"index": 1, "endpoints": [ROW]})
    file.write_bytes(orjson.dumps(sound))
    environ = {"BALANCER_CONFIG": str(file)}

    async def story():
        work = assemble(
            asyncio.get_running_loop(),
            configuration.read_node(environ),
            lambda: configuration.read_node(environ),
        )
        work.phase = node.Phase.SERVING
        parts = with_its_rules(work.desk.dispatcher.endpoints)
        before = [vars(part).copy() for part in parts]
        for said, word in (
            ("{", "not JSON"),
            ("[]", "not an object"),
            (None, "cannot be read"),
            (changed(("settings", "rules", "rampTimeMs"), None), "settings.rules.rampTimeMs is missing"),
            (changed(("settings", "operations", 0, "idempotency"), "sfae"), "idempotency is unknown"),
            (changed(("settings", "limits"), {"peerMessages": 1}), "settings.limits.peerMessages"),
            (changed(("settings", "balancers"), 0), "settings.balancers is out of its range"),
            (changed(("peers",), ["127.0.0.1:0"]), "peers[0] is not host:port"),
        ):
            file.unlink(missing_ok=True)
            if said is not None:
                file.write_bytes(said.encode() if isinstance(said, str) else orjson.dumps(said))
            work.reload()
            assert "reload refused" in lines[-1] and word in lines[-1], lines[-1]
            assert not work.turn.inbox and [vars(part) for part in parts] == before
        file.write_bytes(orjson.dumps(sound))
        work.reload()
        assert "settings as before" in lines[-1] and not work.turn.inbox

    sink = logger.add(lambda text: lines.append(str(text)))
    try:
        asyncio.run(story())
    finally:
        logger.remove(sink)
