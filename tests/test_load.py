"""The stand-ins, the ledger and the load tool, and nodes that are broken on purpose."""

import asyncio
import json
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest
from click.testing import CliRunner

from grebedyke.commands.main import cli
from grebedyke.load import shape
from grebedyke.load.clients import Clients
from grebedyke.load.fleet import Fleet
from grebedyke.load.ledger import Ledger
from grebedyke.standin import talk
from grebedyke.standin.discovery import Discovery
from grebedyke.standin.executor import Executor
from grebedyke.standin.faults import KINDS, Script, fault
from grebedyke.standin.model import Worker

PAY = shape.Operation("pay", "unsafe", 1.0)
HOLD = shape.Operation("hold", "keyed", 1.0)
VIEW = shape.Operation("view", "safe", 1.0)


def test_a_cold_worker_falls_under_more_than_its_multiple_and_a_warm_one_does_not():
    for born, pace, falls in ((0, 0.05, True), (0, 0.5, False), (-99, 0.05, False)):
        worker = Worker(slots=2, queue=999, cold=0.25, ramp=8, multiple=2, tip=1, born=born)
        told = [worker.take(i * pace, f"j{i}", "", "op", 0.2) for i in range(40)]
        assert ("fell" in told) == falls == worker.fallen, (born, pace)


def test_a_worker_drops_repeats_within_its_window_and_forgets_at_a_restart():
    worker = Worker(slots=9, window=2, born=-99)
    for at, key, effects in ((0, "k", 1), (1, "k", 1), (1, "", 2), (1, "", 3), (2.5, "k", 4), (3, "k", 4)):
        worker.take(at, f"j{at}", key, "op", 0.01)
        assert len(worker.runs) == effects, (at, key)
    worker.restart(3.1)
    assert worker.warmth(3.1) == 0.3 and worker.report()["inflight"] == 0
    worker.take(3.2, "again", "k", "op", 0.01)
    assert len(worker.runs) == 5


def test_a_waiting_job_that_is_given_up_never_runs():
    worker = Worker(slots=1, born=-99)
    worker.take(0, "a", "", "op", 1)
    worker.take(0, "b", "", "op", 1)
    assert not worker.drop("a") and worker.drop("b") and not worker.drop("b")
    assert [job.id for job in worker.finished(1)] == ["a"] and not worker.started(1)


class News(talk.Server):
    """In a node's place: keeps what executors tell."""

    async def serve(self, reader, writer):
        while asked := await talk.read(reader):
            self.heard = [*getattr(self, "heard", ()), json.loads(asked[2])]
            writer.write(talk.message("HTTP/1.1 204 No Content"))


async def one_job(kind):
    """(status of the forward, states that were told, effects) under one fault."""
    node = await News().listen()
    script = Script([fault(kind)] if kind else [])
    worker = await Executor("s-1", {"n": node.address}, Worker(born=-99), script).listen()
    body = b'{"work_ms": 20}'
    status, _ = await talk.call(
        worker.address, "POST /op/k HTTP/1.1", body, 3 if kind == "late" else 0.4, X_Request_ID="n-1"
    )
    await asyncio.sleep(0.15)
    heard = [news["state"] for news in getattr(node, "heard", ())]
    await worker.close()
    await node.close()
    return status, heard, len(worker.worker.runs)


def test_each_fault_goes_wrong_in_its_way():
    for kind, status, heard, effects in (
        ("", 202, ["started", "done"], 1),
        ("refuse", 0, [], 0),
        ("hang", 0, [], 0),
        ("silent", 202, [], 1),
        ("full", 503, [], 0),
        ("error", 500, [], 0),
        ("reset", 0, ["started", "done"], 1),
        ("late", 202, ["started", "done"], 1),
        ("before", 202, ["done", "done"], 1),
        ("twice", 202, ["started", "started", "done", "done"], 1),
        ("after", 202, ["started", "done", "running"], 1),
        ("lost", 202, ["started", "lost"], 1),
        ("odd", 0, ["started", "done"], 1),
        ("hang@9", 202, ["started", "done"], 1),
    ):
        got = asyncio.run(one_job(kind))
        assert (got[0], sorted(got[1]), got[2]) == (status, sorted(heard), effects), (kind, got)
        assert kind.partition("@")[0] in ("", *KINDS)


def test_a_fault_that_is_misspelt_is_one_plain_line():
    for text, word in (
        ("hung", "no fault"),
        ("hang@x", "is meant"),
        ("hang@-1", "range"),
        ("reset%0", "range"),
        ("hang@2+0", "range"),
        ("reset%200", "range"),
    ):
        with pytest.raises(ValueError, match=word):
            fault(text)


def test_discovery_tells_changes_once_and_whole_lists_where_it_must():
    async def story():
        d = await Discovery().listen()
        d.put(d.row("s-1", ("127.0.0.1", 9)))

        async def ask(query):
            return json.loads((await talk.call(d.address, f"GET /discovery/hosts{query} HTTP/1.1"))[1])

        assert (await ask("")) | {"endpoints": 0} == {"index": 1, "snapshot": True, "endpoints": 0}
        watch = asyncio.ensure_future(ask("?after=1&wait_ms=900"))
        await asyncio.sleep(0.05)
        await d.change("s-1", status="Terminating")
        told = await watch
        assert not told["snapshot"] and [r["status"] for r in told["endpoints"]] == ["Terminating"]
        assert (await ask("?after=2&wait_ms=10"))["endpoints"] == []
        assert (await ask("?after=7&wait_ms=10"))["snapshot"]  # a version of another life
        await d.change("s-1", status="Gone")
        assert (await ask(""))["endpoints"] == [] and {x[1:] for x in d.told} == {("s-1", "Terminating")}
        d.down = True
        assert (await talk.call(d.address, "GET /discovery/hosts HTTP/1.1", wait=0.1)) == (0, b"")
        await d.close()

    asyncio.run(story())


def test_the_ledger_finds_each_broken_rule_and_no_other():
    def entry(op, answers, runs=(), forwards=((0.1, "s"),), sent=0.0):
        return op, answers, runs, forwards, sent

    for op, answers, runs, forwards, sent, rules in (
        (*entry(VIEW, [(0.5, 200, b"")]), []),
        (*entry(VIEW, []), [1]),
        (*entry(VIEW, [(1.2, 500, b"")]), [1]),
        (*entry(VIEW, [(1.04, 500, b"")]), []),
        (*entry(VIEW, [(0.5, 200, b""), (0.6, 0, b"")]), [1]),
        (*entry(VIEW, [(0.5, 200, b"")], forwards=()), [1]),
        (*entry(VIEW, [(0.5, 200, b"")], [(0.1, "s"), (0.2, "t")]), []),
        (*entry(PAY, [(0.5, 200, b"")], [(0.1, "s"), (0.2, "t")]), [2]),
        (*entry(PAY, [(0.5, 503, b"")], [(0.1, "s")]), [2]),
        (*entry(PAY, [(0.5, 500, b"")], [(0.1, "s")]), []),
        (*entry(HOLD, [(0.5, 503, b"")], [(0.1, "s")]), []),
        (*entry(HOLD, [(0.5, 200, b"")], [(0.1, "s"), (0.2, "t")]), [2]),
        (*entry(VIEW, [(0.5, 200, b"")], forwards=[(5.0, "drained")]), []),
        (*entry(VIEW, [(0.5, 200, b"")], forwards=[(5.1, "drained")]), [3]),
        (*entry(VIEW, [], sent=None), []),
    ):
        ledger = Ledger(grace=2.0)
        e = ledger.enter("n-1-0", op, "k", 0.0)
        e.sent, e.answers, e.refused = sent, answers, sent is None
        for at, executor in runs:
            ledger.ran(executor, [("n-1-0", "k", op.name, at)])
        for at, executor in forwards:
            ledger.reached(executor, [("n-1-0", at)])
        ledger.drained("drained", 1.0)
        ledger.drained("drained", 3.0)  # the last node heard of it then
        assert [b.rule for b in ledger.judge()] == rules, (op, answers, runs, forwards)


def play(operation, faults=None, patch="", drain=False, grace=2.0, seconds=2.0):
    """Broken rules of a small fleet under load; `patch` runs in each node's program before it starts."""
    start = f"import sys; {patch}\nfrom grebedyke.__main__ import main\nsys.argv = ['n']\nsys.exit(main())"

    async def story():
        fleet = Fleet(
            (operation,),
            nodes=2,
            executors=4,
            command=(sys.executable, "-c", start),
            faults={name: [fault(x)] for name, x in (faults or {}).items()},
        )
        try:
            await fleet.start()
            clients = Clients(fleet.nodes, Ledger(grace), retries=0)
            plan = shape.arrivals(3, "poisson", 30, seconds, "constant", 0.05, (operation,))
            playing = asyncio.ensure_future(clients.play(plan))
            if drain:
                await asyncio.sleep(0.3)
                await fleet.drain("s-0")
            await playing
            fleet.fill(clients.ledger)
            return clients.ledger.counts(), clients.ledger.judge()
        finally:
            await fleet.close()

    return asyncio.run(story())


def test_a_sound_node_breaks_no_rule_and_three_broken_ones_are_caught():
    cases = (
        (PAY, {"s-1": "reset%30"}, "", False, None, ""),
        (VIEW, {}, "", True, None, ""),
        (VIEW, {"s-1": "silent"}, "", False, None, ""),
        (
            PAY,
            {f"s-{i}": "reset%30" for i in range(4)},
            "from grebedyke.policy.retry_eligibility import RetryEligibility\n"
            "RetryEligibility.is_allowed = lambda *x: True",
            False,
            2,
            "took effect 2",
        ),
        (
            VIEW,
            {f"s-{i}": "silent" for i in range(4)},
            "from grebedyke.service.request_table import RequestTable\n"
            "accept = RequestTable.accept\n"
            "RequestTable.accept = lambda s, c, i: accept(s, c, i._replace(timeout=i.timeout + 3_000))",
            False,
            1,
            "answered 1.2",
        ),
        (
            VIEW,
            {},
            "from grebedyke.service.endpoint_updates import EndpointUpdates\n"
            "on_list = EndpointUpdates.on_list\n"
            "healthy = lambda rows: [row for row in rows if row.state == 'healthy']\n"
            "EndpointUpdates.on_list = lambda s, n, whole, rows: on_list(s, n, whole, healthy(rows))",
            True,
            3,
            "reached s-0",
        ),
    )
    with ThreadPoolExecutor(3) as beside:  # each is a fleet of its own, and mostly waits
        played = list(beside.map(lambda case: play(*case[:4], grace=0.3), cases))
    for (*_, rule, word), (counts, broken) in zip(cases, played, strict=True):
        assert counts["taken"] > 20, counts
        assert {b.rule for b in broken} == ({rule} if rule else set()), broken[:3]
        assert not rule or any(word in b.what for b in broken), broken[:3]


def test_arrivals_are_the_same_for_a_seed_and_bounded():
    def plan(seed):
        return shape.arrivals(seed, "burst", 40, 10, "pareto", 0.1, (PAY, VIEW), ("t", "u"), 0.1)

    assert plan(4) == plan(4) != plan(5) and {a.operation for a in plan(4)} == {PAY, VIEW}
    bursts = sum(a.at % 5 < 1 for a in plan(4))
    assert bursts > len(plan(4)) / 3  # a fifth of the time, three times the rate
    for rate, seconds in ((1e6, 3600), (0, 5), (1, 0), (1, 1e6)):
        with pytest.raises(ValueError, match="out of bounds"):
            shape.arrivals(1, "poisson", rate, seconds, "constant", 0.1, (PAY,))


def test_commands_say_in_one_line_what_is_wrong(tmp_path):
    for words, code, line in (
        (("load", "--node", "a=10.0.0.1:9"), 2, "10.0.0.1 is not a loopback address"),
        (("load", "--node", "a=127.0.0.1"), 2, "127.0.0.1 is not host:port"),
        (("load", "--node", "a=127.0.0.1:9", "--operation", "pay:sure"), 2, "NAME:EFFECT[:SHARE] is meant"),
        (("load", "--node", "a=127.0.0.1:9", "--trace", str(tmp_path / "no")), 2, "No such file"),
        (("load", "--node", "a=127.0.0.1:9", "--rate", "10000", "--seconds", "3600"), 2, "out of bounds"),
        (("stand-in", "executor", "--name", "s", "--node", "a=1.2.3.4:5"), 2, "not a loopback address"),
        (
            ("stand-in", "executor", "--name", "s", "--node", "a=127.0.0.1:5", "--fault", "hung"),
            2,
            "no fault",
        ),
        (("stand-in", "discovery", "--executor", "s=8.8.8.8:53"), 2, "not a loopback address"),
        (("fleet-log", str(tmp_path / "no")), 2, "No such file"),
        (("fleet-log", str(tmp_path)), 2, "no line"),
        (("fleet-log", "--span", "0", str(tmp_path)), 2, "--span is out of its range"),
    ):
        result = CliRunner().invoke(cli, words)
        told = result.output.strip()
        assert result.exit_code == code and line in told and told.count("\n") == 0, (words, told)
    # Nobody listens there: all are refused, and that is no broken rule of a node's.
    result = CliRunner().invoke(
        cli, ("load", "--node", "a=127.0.0.1:9", "--seconds", "0.5", "--json", str(tmp_path / "told.json"))
    )
    told = json.loads((tmp_path / "told.json").read_text())
    assert result.exit_code == 0 and told["counts"]["refused"] > 0 == told["counts"]["taken"]
    assert "rules: not judged" in result.output and not told["judged"]


def test_the_demo_serves_through_a_death_and_a_hang(tmp_path):
    result = CliRunner().invoke(
        cli, ("demo", "--seconds", "4", "--rate", "30", "--json", str(tmp_path / "d"))
    )
    told = json.loads((tmp_path / "d").read_text())
    assert result.exit_code == 0 and "rules: all kept" in result.output and "is killed" in result.output
    assert told["counts"]["succeeded"] > 60 and told["broken"] == []
