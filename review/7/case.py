"""A drain that discovery tells during an upgrade is lost: the new process sends to the draining executor."""

import asyncio
import random
import signal
from pathlib import Path

from rig2 import deployment
from rig2.case import main
from rig2.platform import Clients, Discovery, Executor
from rig2.processes import CaseError, free_address, free_port, until_ready

OPERATION = "payment-confirm"
EXECUTORS = 10
UPGRADES = 4
REQUESTS_A_SECOND = 40
WORK_MS = 200
# The page has 0.15 s for a node that is held up.
HOLD_S = 0.12
MAX_HOLD_S = 0.15
# "News of discovery binds from 2 s after the yes", then the grace of the settings, and 50 ms on sockets.
BINDS_AFTER_YES_S = 2.0
GRACE_S = 2.0
SOCKET_SLACK_S = 0.05
WATCHED_S = 1.5


async def send_load(clients):
    """Sends requests until it is cancelled."""
    chance = random.Random(7)
    while True:
        task = asyncio.create_task(clients.ask(OPERATION, 5.0, WORK_MS))
        clients.tasks = [*(other for other in clients.tasks if not other.done()), task]
        await asyncio.sleep(chance.expovariate(REQUESTS_A_SECOND))


async def hold_up(case, old, change):
    """Holds the old process up while discovery's change comes in; returns for how long, in seconds."""
    started = case.record.note(f"process {old.process.pid} is held up")
    old.signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(HOLD_S / 4)
        await change
        await asyncio.sleep(HOLD_S - (case.record.now() - started))
    finally:
        old.signal(signal.SIGCONT)
    return case.record.note(f"process {old.process.pid} goes on") - started


async def upgrade(case, old, config, temporary_folder, discovery, executor):
    """Starts a new process beside the old one while an executor begins to drain.

    Returns:
        The new process, and the time from which the drain binds, in seconds of the record.
    """
    new = case.start_node(config, free_address(), temporary_folder)
    while not new.has_event_loop():
        if not new.is_running():
            raise CaseError(f"the new process has ended: {new.log_text()[-400:]}")
        await asyncio.sleep(0.001)
    change = discovery.change(executor.name, status="Terminating")
    if case.trouble:
        held_s = await hold_up(case, old, change)
        if held_s > MAX_HOLD_S:
            raise CaseError(f"the old process was held up for {held_s:.3f} s")
    else:
        await change
    await until_ready(new)
    yes = case.record.note(f"process {new.process.pid} says yes, {old.process.pid} gets SIGTERM")
    old.signal(signal.SIGTERM)
    told = discovery.told.get((executor.name, "Terminating"), yes)
    return new, max(yes + BINDS_AFTER_YES_S, told) + GRACE_S + SOCKET_SLACK_S


async def play(case):
    """Upgrades a node a few times; during each, one executor begins to drain."""
    listen = free_address()
    discovery = await case.start_server(Discovery(case.record), free_port())
    executors = []
    for number in range(EXECUTORS):
        executor = Executor(case.record, f"s-{number}", {"n0": listen})
        executors.append(await case.start_server(executor, free_port()))
        discovery.add(executor)
    config = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "7",
        "limits": {"sockets": 1024},
        "known": discovery.whole(),
        "settings": deployment.settings([deployment.operation(OPERATION, "unsafe")]),
    }
    temporary_folder = case.new_folder("tmp")
    node = case.start_node(config, free_address(), temporary_folder)
    await until_ready(node)
    clients = Clients(case.record, "n0", listen)
    clients.tasks = []
    case.all_clients.append(clients)
    load = asyncio.create_task(send_load(clients))
    await asyncio.sleep(1)
    lost = set()
    for executor in executors[:UPGRADES]:
        node, binds_from = await upgrade(case, node, config, temporary_folder, discovery, executor)
        await asyncio.sleep(binds_from + WATCHED_S - case.record.now())
        late = [job for job in executor.jobs if job.sent_at > binds_from]
        if late:
            case.report(
                f"{executor.name} drains, the drain binds from {binds_from:.2f} s on, and it got "
                f"{len(late)} jobs until {late[-1].sent_at:.2f} s: {', '.join(job.id for job in late[:4])}"
            )
            lost = await executor.stop_with_jobs()
            break
    load.cancel()
    await asyncio.gather(*clients.tasks, return_exceptions=True)
    if lost:
        case.report(f"{executor.name} has ended its drain and is gone: clients have {clients.answers(lost)}")
    served = sum(asked.status == 200 for asked in clients.asked)
    case.record.note(f"{len(clients.asked)} requests, {served} served")
    if served < len(clients.asked) / 2:
        raise CaseError("the node did not serve")


if __name__ == "__main__":
    main(play, Path(__file__).parent)
