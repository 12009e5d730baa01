"""The demo: nodes, executors of two kinds and load on this machine; one executor dies, one hangs."""

import asyncio
from dataclasses import dataclass

from grebedyke.emulators.faults import Fault, FaultKind
from grebedyke.load.arrivals import LoadShape, Operation, draw_arrivals
from grebedyke.load.clients import OpenLoopClients
from grebedyke.load.fleet import FleetShape, LocalFleet

OPERATIONS = (
    Operation("hold", "keyed", share=0.5),
    Operation("confirm", "unsafe", share=0.3),
    Operation("view", "safe", share=0.2),
)
MEAN_WORK = 0.12
LEAVING_CLIENTS = 0.01

KILLED_EXECUTOR = "s-0"
HANGING_EXECUTOR = "s-1"
# When what happens, as parts of the demo's time.
KILL_AT = 0.3
HANG_AT = 0.6
HANG_UNTIL = 0.8

TABLE_COLUMNS = ("taken", "succeeded", "throttled", "errored", "left")


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoSettings:
    """What the command line sets.

    Attributes:
        seconds: How long requests come.
        rate: Requests a second.
        seed: Of all that is drawn.
        nodes: How many nodes.
        executors: How many executors.
    """

    seconds: float = 20.0
    rate: float = 40.0
    seed: int = 1
    nodes: int = 3
    executors: int = 6


async def play_demo(print_line, settings):
    """Plays the demo.

    Args:
        print_line: Called with each line of the live table.
        settings: The `DemoSettings`.

    Returns:
        The `OpenLoopClients`, which have the ledger, and each `Violation`.
    """
    seconds = settings.seconds
    fleet = _fleet(settings)
    playing = None
    try:
        await fleet.start()
        clients = OpenLoopClients(fleet.nodes, seed=settings.seed)
        print_line(
            f"{settings.nodes} nodes and {settings.executors} executors serve; "
            f"{settings.rate:g} invocations a second for {seconds:g} s"
        )
        shape = LoadShape(
            operations=OPERATIONS,
            rate=settings.rate,
            seconds=seconds,
            mean_work=MEAN_WORK,
            leaving=LEAVING_CLIENTS,
        )
        playing = asyncio.create_task(clients.play(draw_arrivals(settings.seed, shape)))
        await _watch(print_line, fleet, clients, playing, seconds)
        await playing
        fleet.report_to(clients.ledger)
        return clients, clients.ledger.violations()
    finally:
        if playing:
            playing.cancel()
        await fleet.close()


def _fleet(settings):
    hang = Fault(FaultKind.HANG, settings.seconds * HANG_AT, settings.seconds * HANG_UNTIL)
    return LocalFleet(
        OPERATIONS,
        FleetShape(nodes=settings.nodes, executors=settings.executors),
        faults={HANGING_EXECUTOR: [hang]},
        seed=settings.seed,
    )


async def _watch(print_line, fleet, clients, playing, seconds):
    """Prints a row each second until all is played; kills the one executor and announces the other's hang."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    counts = clients.ledger.counts()
    is_killed = False
    hang_announced = False
    print_line("  at  taken  succeeded  throttled  errored  left  executors' work in hand")
    while not playing.done():
        await asyncio.wait([playing], timeout=1.0)
        elapsed = loop.time() - start
        earlier_counts = counts
        counts = clients.ledger.counts()
        print_line(_table_row(elapsed, counts, earlier_counts, fleet.executors.values()))
        if elapsed >= seconds * KILL_AT and not is_killed:
            is_killed = True
            await fleet.kill_executor(KILLED_EXECUTOR)
            print_line(f"     executor {KILLED_EXECUTOR} is killed")
        if elapsed >= seconds * HANG_AT and not hang_announced:
            hang_announced = True
            print_line(f"     executor {HANGING_EXECUTOR} hangs for {seconds * (HANG_UNTIL - HANG_AT):g} s")


def _table_row(elapsed, counts, earlier_counts, executors):
    new_counts = tuple(counts[name] - earlier_counts[name] for name in TABLE_COLUMNS)
    jobs = " ".join(
        f"{executor.model.load_report()['inflight']:2d}" if executor.server else " x"
        for executor in executors
    )
    return "%4.0f %6d %10d %10d %8d %5d  %s" % (elapsed, *new_counts, jobs)
