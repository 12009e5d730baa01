"""Three nodes, executors of two kinds and load on this machine; one executor dies and one hangs on the
way.
"""

import asyncio

from grebedyke.emulators.faults import Fault, FaultKind
from grebedyke.load import shape
from grebedyke.load.clients import Clients
from grebedyke.load.fleet import Fleet

OPERATIONS = (
    shape.Operation("hold", "keyed", share=0.5),
    shape.Operation("confirm", "unsafe", share=0.3),
    shape.Operation("view", "safe", share=0.2),
)


async def demo(say, seconds=20.0, rate=40.0, seed=1, nodes=3, executors=6):
    """`say(line)` for each line of the live table. Gives clients (with their ledger) and broken rules."""
    hung = Fault(FaultKind.HANG, seconds * 0.6, seconds * 0.8)
    fleet = Fleet(OPERATIONS, nodes, executors, faults={"s-1": [hung]}, seed=seed)
    task = None
    try:
        await fleet.start()
        clients = Clients(fleet.nodes, seed=seed)
        say(f"{nodes} nodes and {executors} executors serve; {rate:g} invocations a second for {seconds:g} s")
        plan = shape.arrivals(seed, "poisson", rate, seconds, "exponential", 0.12, OPERATIONS, leaving=0.01)
        task = asyncio.create_task(clients.play(plan))
        await tell(say, fleet, clients, task, seconds)
        await task
        fleet.fill(clients.ledger)
        return clients, clients.ledger.judge()
    finally:
        if task:
            task.cancel()
        await fleet.close()


async def tell(say, fleet, clients, task, seconds):
    """A line a second, and the troubles at their times."""
    loop = asyncio.get_running_loop()
    start, before, killed, hung = loop.time(), {}, False, False
    say("  at  taken  succeeded  throttled  errored  left  executors' work in hand")
    while not task.done():
        await asyncio.wait([task], timeout=1.0)
        at = loop.time() - start
        now = clients.ledger.counts()
        row = [
            now[name] - before.get(name, 0) for name in ("taken", "succeeded", "throttled", "errored", "left")
        ]
        held = " ".join(
            f"{e.model.load_report()['inflight']:2d}" if e.server else " x" for e in fleet.executors.values()
        )
        say("%4.0f %6d %10d %10d %8d %5d  %s" % (at, *row, held))
        before = now
        if at >= seconds * 0.3 and not killed:
            killed = True
            await fleet.kill("s-0")
            say("     executor s-0 is killed")
        if at >= seconds * 0.6 and not hung:
            hung = True
            say(f"     executor s-1 hangs for {seconds * 0.2:g} s")
