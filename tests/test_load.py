"""Tests of the emulators, the ledger and the load tool, also with nodes that are broken on purpose."""

import asyncio
import json
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from time import sleep

import pytest
from click.testing import CliRunner

from grebedyke.commands.main import cli
from grebedyke.emulators import http_messages
from grebedyke.emulators.discovery import DiscoveryEmulator
from grebedyke.emulators.executor import ExecutorEmulator
from grebedyke.emulators.executor_model import Admission, ExecutorModel, ExecutorSettings
from grebedyke.emulators.faults import FaultKind, FaultScript, parse_fault
from grebedyke.load.arrivals import Arrival, ArrivalPattern, LoadShape, Operation, SizeLaw, draw_arrivals
from grebedyke.load.clients import OpenLoopClients
from grebedyke.load.fleet import FleetShape, LocalFleet
from grebedyke.load.ledger import Answer, Ledger

PAY = Operation("pay", "unsafe", 1.0)
HOLD = Operation("hold", "keyed", 1.0)
VIEW = Operation("view", "safe", 1.0)


def test_a_cold_executor_fails_above_its_overload_multiple_and_a_warm_one_does_not():
    for started_at, interval, fails in ((0, 0.05, True), (0, 0.5, False), (-99, 0.05, False)):
        settings = ExecutorSettings(
            slots=2,
            queue=999,
            cold_capacity=0.25,
            warm_up_time=8,
            overload_multiple=2,
            overload_window=1,
        )
        executor = ExecutorModel(settings, started_at)
        admissions = [executor.submit(i * interval, f"j{i}", "", "op", 0.2) for i in range(40)]
        assert (Admission.OVERLOADED in admissions) == fails == executor.is_overloaded, (started_at, interval)


def test_an_executor_drops_repeats_within_its_window_until_it_restarts():
    executor = ExecutorModel(ExecutorSettings(slots=9, idempotency_window=2), started_at=-99)
    for time, key, effects in ((0, "k", 1), (1, "k", 1), (1, "", 2), (1, "", 3), (2.5, "k", 4), (3, "k", 4)):
        executor.submit(time, f"j{time}", key, "op", 0.01)
        assert len(executor.effects) == effects, (time, key)
    executor.restart(3.1)
    assert executor.capacity(3.1) == 0.3 and executor.load_report()["inflight"] == 0
    executor.submit(3.2, "again", "k", "op", 0.01)
    assert len(executor.effects) == 5


def test_a_waiting_job_that_is_cancelled_never_runs():
    executor = ExecutorModel(ExecutorSettings(slots=1), started_at=-99)
    executor.submit(0, "a", "", "op", 1)
    executor.submit(0, "b", "", "op", 1)
    assert not executor.cancel("a") and executor.cancel("b") and not executor.cancel("b")
    assert [job.id for job in executor.take_finished(1)] == ["a"] and not executor.start_waiting(1)


class UpdateReceiver(http_messages.LoopbackServer):
    """Replaces a node: collects the job updates that executors send."""

    def __init__(self):
        super().__init__()
        self.updates = []

    async def serve(self, reader, writer):
        while request := await http_messages.read_message(reader):
            self.updates.append(json.loads(request.body))
            writer.write(http_messages.format_message("HTTP/1.1 204 No Content"))


async def run_one_job(kind):
    """Runs a job under a fault; returns the response status, the states in updates and the effect count."""
    node = await UpdateReceiver().listen()
    script = FaultScript([parse_fault(kind)] if kind else [])
    model = ExecutorModel(started_at=-99)
    executor = await ExecutorEmulator("s-1", {"n": node.address}, model, script).listen()
    status, _ = await http_messages.call(
        executor.address,
        "POST",
        "/op/k",
        b'{"work_ms": 20}',
        timeout=3 if kind == "late" else 0.4,
        headers={"X-Request-ID": "n-1"},
    )
    await asyncio.sleep(0.15)
    states = [update["state"] for update in node.updates]
    await executor.close()
    await node.close()
    return status, states, len(model.effects)


def test_each_fault_has_its_effect():
    for kind, status, states, effects in (
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
        result = asyncio.run(run_one_job(kind))
        assert (result[0], sorted(result[1]), result[2]) == (status, sorted(states), effects), (kind, result)
        assert kind.partition("@")[0] in ("", *FaultKind)


def test_an_invalid_fault_is_rejected_with_a_reason():
    for text, words in (
        ("hung", "no fault"),
        ("hang@x", "is meant"),
        ("hang@-1", "range"),
        ("reset%0", "range"),
        ("hang@2+0", "range"),
        ("reset%200", "range"),
    ):
        with pytest.raises(ValueError, match=words):
            parse_fault(text)


def test_discovery_sends_each_change_once_and_full_lists_when_needed():
    async def scenario():
        discovery = await DiscoveryEmulator().listen()
        discovery.add("s-1", ("127.0.0.1", 9))

        async def ask(query):
            response = await http_messages.call(discovery.address, "GET", f"/discovery/hosts{query}")
            return json.loads(response.body)

        assert (await ask("")) | {"endpoints": 0} == {"index": 1, "snapshot": True, "endpoints": 0}
        watch = asyncio.ensure_future(ask("?after=1&wait_ms=900"))
        await asyncio.sleep(0.05)
        await discovery.change("s-1", status="Terminating")
        listing = await watch
        assert not listing["snapshot"]
        assert [row["status"] for row in listing["endpoints"]] == ["Terminating"]
        assert (await ask("?after=2&wait_ms=10"))["endpoints"] == []
        # Version 7 can only be from another process of discovery.
        assert (await ask("?after=7&wait_ms=10"))["snapshot"]
        await discovery.change("s-1", status="Gone")
        assert (await ask(""))["endpoints"] == []
        assert {notice[1:] for notice in discovery.notices} == {("s-1", "Terminating")}
        discovery.is_silent = True
        silence = await http_messages.call(discovery.address, "GET", "/discovery/hosts", timeout=0.1)
        assert silence == (0, b"")
        await discovery.close()

    asyncio.run(scenario())


def test_the_ledger_finds_each_broken_rule_and_no_other():
    def entry(operation, answers, effects=(), arrivals=((0.1, "s"),), sent=0.0):
        return operation, answers, effects, arrivals, sent

    for operation, answers, effects, arrivals, sent, rules in (
        (*entry(VIEW, [(0.5, 200, b"")]), []),
        (*entry(VIEW, []), [1]),
        (*entry(VIEW, [(1.2, 500, b"")]), [1]),
        (*entry(VIEW, [(1.04, 500, b"")]), []),
        (*entry(VIEW, [(0.5, 200, b""), (0.6, 0, b"")]), [1]),
        (*entry(VIEW, [(0.5, 200, b"")], arrivals=()), [1]),
        (*entry(VIEW, [(0.5, 200, b"")], [(0.1, "s"), (0.2, "t")]), []),
        (*entry(PAY, [(0.5, 200, b"")], [(0.1, "s"), (0.2, "t")]), [2]),
        (*entry(PAY, [(0.5, 503, b"")], [(0.1, "s")]), [2]),
        (*entry(PAY, [(0.5, 500, b"")], [(0.1, "s")]), []),
        (*entry(HOLD, [(0.5, 503, b"")], [(0.1, "s")]), []),
        (*entry(HOLD, [(0.5, 200, b"")], [(0.1, "s"), (0.2, "t")]), [2]),
        (*entry(VIEW, [(0.5, 200, b"")], arrivals=[(5.0, "drained")]), []),
        (*entry(VIEW, [(0.5, 200, b"")], arrivals=[(5.1, "drained")]), [3]),
        (*entry(VIEW, [], sent=None), []),
    ):
        ledger = Ledger(drain_grace=2.0)
        request = ledger.add_request("n-1-0", operation, "k", 0.0)
        request.sent = sent
        request.answers = [Answer(*answer) for answer in answers]
        request.refused = sent is None
        for time, executor in effects:
            ledger.add_effects(executor, [("n-1-0", "k", operation.name, time)])
        for time, executor in arrivals:
            ledger.add_arrivals(executor, [("n-1-0", time)])
        ledger.add_removal("drained", 1.0)
        ledger.add_removal("drained", 3.0)  # the last node is informed
        violations = ledger.violations()
        assert [violation.rule for violation in violations] == rules, (operation, answers, effects, arrivals)


def run_fleet(operation, faults=None, patch="", drain=False, grace=2.0, seconds=2.0):
    """Returns counts and violations of a fleet under load; each node executes the code `patch` first."""
    code = f"import sys; {patch}\nfrom grebedyke.__main__ import main\nsys.argv = ['n']\nsys.exit(main())"

    async def scenario():
        fleet = LocalFleet(
            (operation,),
            FleetShape(nodes=2, executors=4),
            command=(sys.executable, "-c", code),
            faults={name: [parse_fault(x)] for name, x in (faults or {}).items()},
        )
        try:
            await fleet.start()
            clients = OpenLoopClients(fleet.nodes, Ledger(grace), retries=0)
            shape = LoadShape(
                operations=(operation,),
                rate=30,
                seconds=seconds,
                size_law=SizeLaw.CONSTANT,
                mean_work=0.05,
            )
            load_task = asyncio.ensure_future(clients.play(draw_arrivals(3, shape)))
            if drain:
                await asyncio.sleep(0.3)
                await fleet.drain_executor("s-0")
            await load_task
            fleet.report_to(clients.ledger)
            return clients.ledger.counts(), clients.ledger.violations()
        finally:
            await fleet.close()

    return asyncio.run(scenario())


def test_a_sound_node_breaks_no_rule_and_three_broken_ones_are_caught():
    # Operation, faults, patch, whether an executor drains, broken rule, part of the violation's description.
    cases = (
        (PAY, {"s-1": "reset%30"}, "", False, None, ""),
        (VIEW, {}, "", True, None, ""),
        (VIEW, {"s-1": "silent"}, "", False, None, ""),
        (  # retries non-idempotent attempts whose connection was reset
            PAY,
            {f"s-{i}": "reset%30" for i in range(4)},
            "from grebedyke.policy.retry_eligibility import RetryEligibility\n"
            "RetryEligibility.is_allowed = lambda *x: True",
            False,
            2,
            "took effect 2",
        ),
        (  # assumes a client timeout that is 0.3 s too long
            VIEW,
            {f"s-{i}": "silent" for i in range(4)},
            "from grebedyke.service.request_table import RequestTable\n"
            "accept = RequestTable.accept\n"
            "RequestTable.accept = lambda s, c, i: accept(s, c, i._replace(timeout=i.timeout + 3_000))",
            False,
            1,
            "answered 1.2",
        ),
        (  # ignores that an executor is draining
            VIEW,
            {},
            "from grebedyke.service.endpoint_updates import EndpointUpdates\n"
            "on_list = EndpointUpdates.on_list\n"
            "healthy = lambda rows: [row for row in rows if row.state == 'healthy']\n"
            "EndpointUpdates.on_list = lambda s, n, update: on_list(\n"
            "    s, n, update._replace(rows=healthy(update.rows)))",
            True,
            3,
            "reached s-0",
        ),
    )
    with ThreadPoolExecutor(3) as pool:  # each case is a separate fleet and waits most of the time
        results = list(pool.map(lambda case: run_fleet(*case[:4], grace=0.3), cases))
    for (*_, rule, part), (counts, violations) in zip(cases, results, strict=True):
        assert counts["taken"] > 20, counts
        assert {violation.rule for violation in violations} == ({rule} if rule else set()), violations[:3]
        assert not rule or any(part in violation.description for violation in violations), violations[:3]


def test_arrivals_are_the_same_for_a_seed_and_bounded():
    shape = LoadShape(
        operations=(PAY, VIEW),
        rate=40,
        seconds=10,
        pattern=ArrivalPattern.BURST,
        size_law=SizeLaw.PARETO,
        mean_work=0.1,
        tenants=("t", "u"),
        leaving=0.1,
    )
    arrivals = draw_arrivals(4, shape)
    assert arrivals == draw_arrivals(4, shape) != draw_arrivals(5, shape)
    assert {arrival.operation for arrival in arrivals} == {PAY, VIEW}
    in_bursts = sum(arrival.time % 5 < 1 for arrival in arrivals)
    assert in_bursts > len(arrivals) / 3  # bursts take a fifth of the time, at three times the rate
    for rate, seconds in ((1e6, 3600), (0, 5), (1, 0), (1, 1e6)):
        with pytest.raises(ValueError, match="out of bounds"):
            shape = LoadShape(operations=(PAY,), rate=rate, seconds=seconds, mean_work=0.1)
            draw_arrivals(1, shape)


def test_commands_report_bad_input_in_one_line(tmp_path):
    for words, code, line in (
        (("load", "--node", "a=10.0.0.1:9"), 2, "10.0.0.1 is not a loopback address"),
        (("load", "--node", "a=127.0.0.1"), 2, "127.0.0.1 is not host:port"),
        (
            ("load", "--node", "a=127.0.0.1:9", "--operation", "pay:sure"),
            2,
            "operation 'pay:sure' is not NAME:EFFECT[:SHARE]",
        ),
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
        message = result.output.strip()
        assert result.exit_code == code and line in message and message.count("\n") == 0, (words, message)
    # Nothing listens at this address: all requests are refused, which violates no rule.
    result = CliRunner().invoke(
        cli, ("load", "--node", "a=127.0.0.1:9", "--seconds", "0.5", "--json", str(tmp_path / "summary.json"))
    )
    summary = json.loads((tmp_path / "summary.json").read_text())
    assert result.exit_code == 0 and summary["counts"]["refused"] > 0 == summary["counts"]["taken"]
    assert "rules: not judged" in result.output and not summary["judged"]


def test_the_demo_keeps_all_rules_while_one_executor_is_killed_and_one_hangs(tmp_path):
    result = CliRunner().invoke(
        cli, ("demo", "--seconds", "4", "--rate", "30", "--json", str(tmp_path / "d"))
    )
    summary = json.loads((tmp_path / "d").read_text())
    assert result.exit_code == 0 and "rules: all kept" in result.output and "is killed" in result.output
    assert summary["counts"]["succeeded"] > 60 and summary["broken"] == []


class SlowNode(http_messages.LoopbackServer):
    """Answers each request with 200 after a delay."""

    def __init__(self, delay):
        super().__init__()
        self.delay = delay

    async def serve(self, reader, writer):
        """Answers one request."""
        await http_messages.read_message(reader)
        await asyncio.sleep(self.delay)
        writer.write(http_messages.format_message("HTTP/1.1 200 OK"))
        await reader.read()


@contextmanager
def slow_node(delay):
    """Runs a `SlowNode` in another thread, which a stall of the client does not stop; yields its address."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    node = SlowNode(delay)
    asyncio.run_coroutine_threadsafe(node.listen(), loop).result()
    try:
        yield node.address
    finally:
        asyncio.run_coroutine_threadsafe(node.close(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


async def violations_of_one_request(address, stall):
    """Sends a request, stalls the client's event loop after 0.05 s and returns texts of violations."""
    clients = OpenLoopClients({"n0": address}, retries=0)
    asyncio.get_running_loop().call_later(0.05, sleep, stall)
    await clients.play([Arrival(0.0, VIEW, "t", 0.01, None)])
    entry = clients.ledger.entries["n0-1-0"]
    clients.ledger.add_arrivals("s", [(entry.id, entry.sent)])
    return [violation.description for violation in clients.ledger.violations()]


@pytest.mark.parametrize(
    "delay, stall, words",
    [
        (0.1, 0.0, None),
        # The answer arrives in time but is read after the timeout; it counts neither as missing nor as late.
        (0.1, 1.7, None),
        (0.1, 1.2, None),
        (1.2, 0.0, "answered 1.2"),
        (9.0, 0.0, "never answered: no answer in 1.5 s"),
        (9.0, 1.7, "its client stood still for up to 1.7"),
    ],
)
def test_a_stall_of_the_client_is_not_a_violation_of_the_node(delay, stall, words):
    with slow_node(delay) as address:
        violations = asyncio.run(violations_of_one_request(address, stall))
    assert bool(violations) == bool(words) and all(words in text for text in violations), violations
