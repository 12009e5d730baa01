"""Several real processes, faults between them, and a judge that looks from outside; loopback only."""

import asyncio
import json
import os
import subprocess
import sys

import pytest
from click.testing import CliRunner

from grebedyke.commands.main import cli
from grebedyke.load import fleet as plain
from grebedyke.service.record_files import RecordFiles
from grebedyke.standin import talk
from grebedyke.testbed import trial
from grebedyke.testbed.launcher import LyingFiles
from grebedyke.testbed.process_cluster import Rig
from grebedyke.testbed.trial_checker import Judge

# Each fault comes in some round: one that did not happen proves nothing.
# Seed 1 goes on under limits: without kills, which leave it little more than its floors.
ROUNDS = (
    (1, ("cut", "stall", "bad links")),
    (2, ("kill", "older folder", "copy")),
    (3, ("stop", "bad list", "lying disk")),
    (4, ("empty folder", "bad disk", "spoilt folder")),
)
HAPPENED = "folder same", "cut", "held", "lost", "doubled", "spoilt", "stopped", "copied", "disk honest"


def test_a_plan_goes_through_a_fleet_under_faults_and_no_invariant_breaks():
    async def story():
        return await asyncio.gather(
            *(trial.play(seed, kinds=kinds, seconds=6.0, pace=1.5) for seed, kinds in ROUNDS)
        )

    played = asyncio.run(story())
    assert [one.broken for one in played] == [[]] * len(ROUNDS)
    done = trial.total(played)
    assert all(one.done["worked at"] >= 6 and one.done["succeeded"] > 10 for one in played), [
        (one.seed, one.done["worked at"], one.done["succeeded"]) for one in played
    ]
    assert all(done.get(kind) for kind in HAPPENED), done


def test_the_judge_finds_what_logs_contradict():
    def event(rev, machine, state):
        return {"event": "machine", "rev": rev, "machine": machine, "state": state}

    honest = [
        ("n0", event(1, "a", "waiting")),
        ("n0", event(2, "a", "leaving")),
        ("n1", event(2, "a", "leaving")),
        ("n0", event(3, "a", "free")),
        ("n0", event(4, "a", "back")),
        ("n0", event(5, "a", "done")),
    ]
    for more, clause in (
        (None, None),
        (("n2", event(2, "a", "free")), "one value"),
        (("n0", event(6, "a", "free")), "order of states"),
        (("n0", event(3, "b", "leaving")), "most out"),
    ):
        judge = Judge()
        judge.logs([*honest, *([more] if more else [])], 1)
        assert [broken[0] for broken in judge.broken][:1] == ([clause] if clause else []), clause


def test_each_way_in_which_a_disk_lies(tmp_path):
    for kind, raises, kept in (
        ("", False, b"second"),
        ("full", True, b"first"),
        ("read-only", True, b"first"),
        ("eio", True, b"second"),
        ("short", True, b"first"),
        ("torn", False, b"sec"),
        ("lies", False, b"first"),
    ):
        files = LyingFiles(str(tmp_path / (kind or "honest")), lambda: [])
        assert files.lock()
        files.replace("votes", b"first")
        files.told = lambda: [kind]
        try:
            files.replace("votes", b"second")
        except OSError:
            assert raises, kind
        else:
            assert not raises, kind
        assert files.read("votes") == kept, kind
        files.told = lambda: []
        files.replace("view", b"x")  # honest again: what it had promised is kept at last
        assert files.read("votes") == (b"second" if kind == "lies" else kept), kind
        files.close()


async def one_node(tmp_path, change):
    """The exit code and last words of a node whose file is changed before it starts."""
    rig = Rig(trial.OPERATIONS, 3, 2)
    rig.told_honestly = rig.told

    def told(name):
        said = rig.told_honestly(name)
        change(said)
        return said

    rig.told = told
    try:
        await rig.start()
    except OSError as problem:
        return str(problem)
    finally:
        await rig.close()
    return ""


@pytest.mark.parametrize(
    "change, words",
    [
        (lambda said: said["fleet"].update(voters=[0, 1]), "fleet.voters is not 1, 3, 5 or 7 nodes"),
        (lambda said: said["fleet"].update(voters=[0, 1, 3]), "fleet.voters[2] is none of the 3 peers"),
        (lambda said: said["fleet"].pop("folder"), "fleet.folder is missing"),
        (lambda said: said.pop("fleet"), "setting fleet is missing"),
        (lambda said: said["maintenance"].update(leaseMs=200), "maintenance.leaseMs is under four times"),
        (lambda said: said["fleet"].update(folder="/proc/nowhere"), "fleet.folder cannot be used"),
    ],
)
def test_a_faulty_section_ends_a_node_with_its_key(tmp_path, change, words):
    assert words in asyncio.run(one_node(tmp_path, change))


def test_a_folder_is_one_processes_and_one_nodes(tmp_path):
    first, second = RecordFiles(str(tmp_path)), RecordFiles(str(tmp_path))
    assert first.lock() and not second.lock()
    first.replace("votes", b"one")
    assert first.read("votes") == b"one" and first.read("view") is None
    first.close()
    assert second.lock()

    async def story():
        rig = Rig(trial.OPERATIONS, 3, 2)
        try:
            await rig.start()
            await rig.end("n2")
            rig.path("n2", "folder").rename(rig.path("n2", "gone"))
            rig.copy("n1")
            rig.path("n1", "older").rename(rig.path("n2", "folder"))
            with pytest.raises(OSError, match="not this node's"):
                await rig.launch("n2")
            return rig.processes["n2"].returncode
        finally:
            await rig.close()

    assert asyncio.run(story()) == 2


def test_operators_commands_against_a_fleet():
    def run(*words):
        got = CliRunner().invoke(cli, [*map(str, words)])
        return got.exit_code, (got.output + got.stderr).strip()

    async def story():
        rig = Rig(trial.OPERATIONS, 3, 4)
        try:
            await rig.start()
            nodes = [x for name in rig.nodes for x in ("--node", "%s:%d" % rig.consoles[name])]
            loop = asyncio.get_running_loop()

            async def do(*words):
                return await loop.run_in_executor(None, run, *words, *nodes)

            file = rig.path("n0", "plan.json")
            for plan, word in (
                ({"machines": ["s-9"], "most": 1, "workMs": 9000}, "s-9"),
                ({"machines": ["s-1"], "workMs": 9000}, "most is missing"),
                (
                    {
                        "machines": ["s-1", "s-2"],
                        "most": 1,
                        "workMs": 9000,
                        "after": {"s-1": ["s-2"], "s-2": ["s-1"]},
                    },
                    "circle",
                ),
                ({"machines": ["s-1"], "most": 1, "workMs": 9000, "leastShare": 1}, "met"),
            ):
                file.write_text(json.dumps(plan))
                for _ in range(50):  # a node that has just begun knows no machine yet
                    code, text = await do("maintenance", "plan", file)
                    if word in text:
                        break
                    await asyncio.sleep(0.1)
                assert code == 2 and word in text, text
            file.write_text(json.dumps({"id": "w", "machines": ["s-1", "s-2"], "most": 1, "workMs": 9000}))
            assert await do("maintenance", "plan", file) == (0, "plan w: announced")
            code, text = await do("maintenance", "plan", file)
            assert code == 0 and text.startswith("plan w: ")  # the same call
            code, text = await do("maintenance", "pause")
            while "not all nodes know it" in text:
                code, text = await do("maintenance", "pause")
            assert (code, text) == (0, "plan w: paused")
            code, text = await do("maintenance", "status")
            assert code == 0 and "plan w  paused" in text and "s-1" in text
            assert (await do("maintenance", "back", "s-1", 999))[0] == 2
            assert await do("maintenance", "go") == (0, "plan w: open")
            assert await do("maintenance", "abort") == (0, "plan w: aborting")
            code, text = await do("members", "show")
            assert code == 0 and "voters 0 1 2" in text
            # One that is named and dead is no answer; the next is asked.
            await rig.end("n0")
            assert (await do("maintenance", "status"))[0] == 0
            # With two of three gone nothing new is agreed on, and it is said.
            await rig.end("n1")
            code, text = await do("maintenance", "pause")
            assert code == 1 and "no majority" in text
        finally:
            await rig.close()

    asyncio.run(asyncio.wait_for(story(), 90))
    assert run("maintenance", "status", "--node", "10.0.0.1:9")[0] == 2


def test_a_new_process_beside_the_old_one_keeps_what_is_out():
    async def story():
        rig = Rig(trial.OPERATIONS, 3, 4)
        try:
            await rig.start()
            plan, told = {"machines": ["s-1"], "most": 1, "workMs": 60_000}, (0, "")
            while told[0] != 200:
                told = await rig.call("n0", "POST", "/v1/maintenance/plan", plan)
            while (told := await rig.status("n1"))["machines"][0]["state"] != "free":
                await asyncio.sleep(0.05)
            number = told["machines"][0]["number"]
            # An operator's own word, beside the plan's.
            assert (await rig.call("n1", "POST", "/v1/executors/s-2/suspend"))[0] == 200
            old, rig.consoles["n1"] = rig.processes["n1"], None
            await rig.launch("n1")
            old.terminate()
            await asyncio.wait_for(old.wait(), 10)
            told = None
            while not (told and told["sure"]):
                told = await rig.status("n1")
                await asyncio.sleep(0.05)
            assert told["machines"][0] == {"name": "s-1", "state": "free", "number": number}
            assert (await rig.call("n0", "POST", f"/v1/maintenance/back/s-1/{number}"))[0] == 200
            executor, other = rig.executors["s-1"], rig.executors["s-2"]
            before, asked = len(executor.forwards), 0
            while len(executor.forwards) == before and asked < 200:
                asked += 1
                await talk.call(
                    rig.nodes["n1"],
                    "POST /view/k HTTP/1.1",
                    b'{"work_ms": 5}',
                    X_Request_ID=f"n1-{asked}",
                    X_Timeout_Ms=4000,
                )
            # What came along from the old process ends by the plan's word; the operator's stays.
            return asked, [id for id, _ in other.forwards]
        finally:
            await rig.close()

    asked, reached = asyncio.run(asyncio.wait_for(story(), 60))
    assert 0 < asked < 200 and not reached


def test_what_is_off_is_not_even_imported():
    code = (
        "import sys, grebedyke.service.start; "
        "off = 'consensus', 'rate_limits', 'maintenance', 'msgpack'; "
        "print([m for m in sys.modules if any(name in m for name in off)])"
    )
    told = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": "."},
    )
    assert told.stdout.strip() == "[]"
    assert plain.settings(trial.OPERATIONS, 3, 0, "a")["limits"].get("peerMessages") is None
