"""A machine is reported free while a node that was added to the running fleet goes on sending to it."""

import asyncio
import json
import signal
from pathlib import Path

from rig2 import deployment
from rig2.case import main
from rig2.fleet import Fleet
from rig2.platform import Clients
from rig2.processes import CaseError, free_address, until_ready

MAINTENANCE = {"maintenance": {"leaseMs": 2000, "drift": 0.02}}
GRACE_S = 2.0
OPERATION = "payment-confirm"
MACHINES = ("s-0", "s-1", "s-2", "s-3")
RATE = 25


async def add_node(case, fleet):
    """Adds a node as docs/migration.md says: all files, SIGHUP at all nodes, the new node last."""
    number = len(fleet.configs)
    name = f"n{number}"
    listen = free_address()
    peers = [*fleet.configs[0]["peers"], free_address()]
    for executor in fleet.executors.values():
        executor.nodes[name] = listen
    added = json.loads(json.dumps(fleet.configs[0]))
    added |= {"name": name, "listen": listen, "seed": name}
    added["settings"]["me"] = number
    added["fleet"]["folder"] = str(case.folder / f"records-{name}")
    fleet.configs.append(added)
    for config in fleet.configs:
        config["peers"] = peers
        config["settings"]["balancers"] = number + 1
    for config, process in zip(fleet.configs, fleet.processes, strict=False):
        content = json.dumps({**config, "console": process.console})
        new_file = process.file.with_suffix(".new")
        new_file.write_text(content)
        new_file.rename(process.file)
        process.signal(signal.SIGHUP)

    async def all_have_reloaded():
        return all("reload done" in process.log_text() for process in fleet.processes)

    await fleet.until(all_have_reloaded, 10, "the reload")
    case.record.note("all nodes have logged: reload done")
    fleet.temporary_folders.append(case.new_folder(f"tmp-{name}"))
    fleet.clients.append(Clients(case.record, name, listen))
    case.all_clients.append(fleet.clients[-1])
    fleet.processes.append(fleet.start_process(number))
    await until_ready(fleet.processes[-1])

    async def is_certain():
        return (await fleet.status(number)).get("sure")

    await fleet.until(is_certain, 20, "the added node's view")


async def take_out(case, fleet, machine):
    """Takes a machine out by a plan of its own, looks at what runs and comes there, and brings it back."""
    planned_at = case.record.now()
    plan = {"machines": [machine], "most": 1, "workMs": 600_000, "leastShare": 0.3}
    await fleet.call(1, "/v1/maintenance/plan", plan)

    async def is_free():
        state, number = await fleet.machine(1, machine)
        return state == "free" and number

    number = await fleet.until(is_free, 15, "the machine")
    free_at = case.record.note(f"operator: {machine} is free by number {number}")
    waited = free_at - planned_at
    jobs = fleet.executors[machine].jobs
    left = [job.id for job in jobs if job.ended_at is None]
    await asyncio.sleep(1)
    late = [job.id for job in jobs if job.sent_at > free_at]
    if late:
        case.report(f"{machine} was reported free at {free_at:.2f} s, and got {', '.join(late)} after that")
    if left and waited < GRACE_S:
        case.report(
            f"{machine} was reported free {waited:.2f} s after the plan, within the grace of {GRACE_S} s, "
            f"while {', '.join(left)} ran there"
        )
    await fleet.call(1, "/v1/maintenance/abort")
    await fleet.call(1, f"/v1/maintenance/back/{machine}/{number}")

    async def has_ended():
        return not (await fleet.status(1)).get("plan")

    await fleet.until(has_ended, 30, "the end of the plan")


async def play(case):
    """Adds a node to a running fleet of three, then takes machines out one after the other."""
    fleet = Fleet(case)
    operations = [deployment.operation(OPERATION, "unsafe")]
    await fleet.start(
        3,
        [f"s-{number}" for number in range(4)],
        operations,
        MAINTENANCE,
        drainGraceMs=GRACE_S * 1000,
        rampTimeMs=3000.0,
    )
    if case.trouble:
        await add_node(case, fleet)
    fleet.send_load(OPERATION, 5.0, 200, RATE)
    await asyncio.sleep(2)
    for machine in MACHINES:
        await take_out(case, fleet, machine)
    await fleet.end_load()
    if case.trouble and not any(asked.status == 200 for asked in fleet.clients[-1].asked):
        raise CaseError("the added node did not serve")


if __name__ == "__main__":
    main(play, Path(__file__).parent)
