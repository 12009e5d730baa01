"""The scenes of a scale run, see `scale_settings.SCENES`."""

import asyncio
import time
from functools import partial

from grebedyke.testbed.invariant_checker import SETTLING_WINDOW
from grebedyke.testbed.scale_settings import REGIONS

# Shares of the run's measured time for the windows before, during and after a fault.
BEFORE_SHARE = 0.3
DURING_SHARE = 0.3
AFTER_SHARE = 0.3
BEFORE_RESTART_SHARE = 0.4
MIN_AFTER_TIME = 1.0
# How long all nodes stay down in a restart, in seconds.
RESTART_PAUSE = 0.5


async def run_calm(run):
    """Measures the fleet without faults or plans."""
    await run.measurement.measure("calm", run.settings.seconds)


async def run_peak(run):
    """Carries out plans one after another."""
    plans = asyncio.ensure_future(run.operators.carry_out_plans())
    try:
        while not run.checker.has_open_plan():
            await run.checker.poll_for(0.2)
            if plans.done():
                plans.result()
        driver = min(set(run.layout.voters) - run.down_nodes)
        roles = {driver: "driver"} | {run.operators.called_node(): "asked"}
        await run.measurement.measure("peak", run.settings.seconds, roles)
    finally:
        plans.cancel()
        await asyncio.gather(plans, return_exceptions=True)
    # Ends the plan in progress, so that no machine stays excluded.
    await run.operators.call("/v1/maintenance/abort")


async def run_zone(run):
    """Kills the zone of the lease holder and restarts it."""
    await run.measurement.measure("before", run.settings.seconds * BEFORE_SHARE)
    holder = await run.lease_holder() or 0
    zones = run.layout.zones
    lost = [node for node in range(run.settings.nodes) if zones[node] == zones[holder]]
    run.show_progress(f"zone {zones[holder]} is lost: {len(lost)} nodes")
    await run.kill(lost)
    await run.measurement.measure("while it is lost", run.settings.seconds * DURING_SHARE)
    await _measure_recovery(run, "after the zone is back", partial(run.restart, lost))


async def run_cut(run):
    """Cuts the links between two regions for a while."""
    await run.measurement.measure("before", run.settings.seconds * BEFORE_SHARE)
    nodes = range(run.settings.nodes)
    sides = [[node for node in nodes if run.layout.zones[node] in region] for region in REGIONS]
    run.show_progress(f"links between two regions are cut: {len(sides[0])} nodes, {len(sides[1])} nodes")
    await run.command_all("cut", apart=sides)
    await run.measurement.measure("while they are cut", run.settings.seconds * DURING_SHARE)
    await _measure_recovery(run, "after the cut", partial(run.command_all, "cut", apart=[]))


async def run_restart(run):
    """Kills all nodes at once and restarts them."""
    await run.measurement.measure("before", run.settings.seconds * BEFORE_RESTART_SHARE)
    everyone = list(range(run.settings.nodes))
    run.show_progress("all nodes are killed")
    await run.kill(everyone)
    await asyncio.sleep(RESTART_PAUSE)
    await _measure_recovery(run, "after the restart", partial(run.restart, everyone))


async def _measure_recovery(run, when, end_fault):
    """Measures the time from a fault's end until all nodes agree, then a window without faults."""
    start = await run.measurement.read()
    since = time.monotonic()
    await end_fault()
    took = await run.wait_for_agreement(when, run.settings.agreement_timeout, since)
    if took is not None:
        run.measurement.add_window(SETTLING_WINDOW, start, await run.measurement.read(), {})
    await run.poll_for_leases(2)
    await run.measurement.measure("after", max(run.settings.seconds * AFTER_SHARE, MIN_AFTER_TIME))


SCENE_FUNCTIONS = {
    "calm": run_calm,
    "peak": run_peak,
    "zone": run_zone,
    "cut": run_cut,
    "restart": run_restart,
}
