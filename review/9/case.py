"""During an upgrade a bad client's request with the id of another client's open request is served."""

import asyncio
import signal
from pathlib import Path

from rig2 import deployment
from rig2.case import main
from rig2.platform import Clients, Discovery, Executor
from rig2.processes import CaseError, free_address, free_port, until_ready

EXECUTORS = 4
OPERATION = "pitch-search"
CLIENT_TIMEOUT_S = 5.0
GOOD_REQUESTS = 4
GOOD_MS = 2500
BAD_MS = 2500
GOOD = "good"
BAD = "bad"


async def play(case):
    """Opens requests, upgrades the node, and sends requests with the same ids while they are open."""
    listen = free_address()
    discovery = await case.start_server(Discovery(case.record), free_port())
    for number in range(EXECUTORS):
        executor = Executor(case.record, f"s-{number}", {"n0": listen})
        await case.start_server(executor, free_port())
        discovery.add(executor)
    config = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "9",
        "limits": {"sockets": 1024},
        "known": discovery.whole(),
        "settings": deployment.settings([deployment.operation(OPERATION)]),
    }
    temporary_folder = case.new_folder("tmp")
    old = case.start_node(config, free_address(), temporary_folder)
    await until_ready(old)
    good = Clients(case.record, "n0", listen)
    bad = Clients(case.record, "n0", listen)
    case.all_clients += [good, bad]

    def ask_good(work_ms):
        return asyncio.create_task(good.ask(OPERATION, CLIENT_TIMEOUT_S, work_ms, who=GOOD))

    await ask_good(50)
    new = case.start_node(config, free_address(), temporary_folder) if case.trouble else None
    good_requests = [ask_good(GOOD_MS) for _ in range(GOOD_REQUESTS)]
    if new:
        await until_ready(new)
        case.record.note(f"process {new.process.pid} says yes, {old.process.pid} gets SIGTERM")
        old.signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    open_ids = [asked.id for asked in good.asked if asked.status is None]
    case.record.note(f"open requests: {', '.join(open_ids)}")
    if len(open_ids) < GOOD_REQUESTS:
        raise CaseError("the good clients' requests are not open any more")
    await asyncio.gather(
        *(bad.ask(OPERATION, CLIENT_TIMEOUT_S, BAD_MS, request_id=taken, who=BAD) for taken in open_ids)
    )
    await asyncio.gather(*good_requests)
    for asked in bad.asked:
        if asked.status == 200:
            case.report(
                f"a client that sent the id of another client's open request, {asked.id}, was served: "
                f"200 {asked.body!r}"
            )
    for asked in good.asked:
        if asked.status != 200:
            # An errored answer is a final answer: noted, but no break of the rule.
            case.record.note(f"the client that sent {asked.id} first has {asked.status}")
        elif GOOD not in asked.body.split():
            case.report(f"the client that sent {asked.id} first has another's result: {asked.body!r}")


if __name__ == "__main__":
    main(play, Path(__file__).parent)
