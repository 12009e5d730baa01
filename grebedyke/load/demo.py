"""The demo: nodes, two kinds of executors and load on this machine; one executor is killed, one hangs."""

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
MEAN_WORK = 0.12  # seconds
LEAVING_SHARE = 0.01

KILLED_EXECUTOR = "s-0"
HANGING_EXECUTOR = "s-1"
# Times of the faults, as fractions of the demo's duration.
KILL_AT = 0.3
HANG_AT = 0.6
HANG_UNTIL = 0.8

TABLE_COLUMNS = ("taken", "succeeded", "throttled", "errored", "left")


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoSettings:
    """The options of the command line.

    Attributes:
        seconds: The period in which requests arrive, in seconds.
        rate: Requests per second.
        seed: Seed of all random choices.
        nodes: Number of nodes.
        executors: Number of executors.
    """

    seconds: float = 20.0
    rate: float = 40.0
    seed: int = 1
    nodes: int = 3
    executors: int = 6


async def run_demo(print_line, settings):
    """Runs the demo.

    Args:
        print_line: Called with each line of the output.
        settings: The `DemoSettings`.

    Returns:
        The `OpenLoopClients`, which contain the ledger, and all `Violation` entries.
    """
    seconds = settings.seconds
    fleet = _make_fleet(settings)
    load_task = None
    try:
        await fleet.start()
        clients = OpenLoopClients(fleet.nodes, seed=settings.seed)
        print_line(
            f"{settings.nodes} nodes and {settings.executors} executors are ready; "
            f"{settings.rate:g} requests per second for {seconds:g} s"
        )
        shape = LoadShape(
            operations=OPERATIONS,
            rate=settings.rate,
            seconds=seconds,
            mean_work=MEAN_WORK,
            leaving=LEAVING_SHARE,
        )
        load_task = asyncio.create_task(clients.play(draw_arrivals(settings.seed, shape)))
        await _show_progress(print_line, fleet, clients, load_task, seconds)
        await load_task
        fleet.report_to(clients.ledger)
        return clients, clients.ledger.violations()
    finally:
        if load_task:
            load_task.cancel()
        await fleet.close()


def _make_fleet(settings):
    hang = Fault(FaultKind.HANG, settings.seconds * HANG_AT, settings.seconds * HANG_UNTIL)
    return LocalFleet(
        OPERATIONS,
        FleetShape(nodes=settings.nodes, executors=settings.executors),
        faults={HANGING_EXECUTOR: [hang]},
        seed=settings.seed,
    )


async def _show_progress(print_line, fleet, clients, load_task, seconds):
    """Prints a row every second until the load ends; kills one executor and announces the hang of another."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    counts = clients.ledger.counts()
    is_killed = False
    hang_announced = False
    print_line("  at  taken  succeeded  throttled  errored  left  executors' work in hand")
    while not load_task.done():
        await asyncio.wait([load_task], timeout=1.0)
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
