"""The faults of a trial with real processes: each function injects a fault, waits, and ends the fault.

All of them take the `Trial` and draw from its random number generator.
"""

import asyncio
import time
from functools import partial

from grebedyke.testbed.launcher import DiskFault
from grebedyke.testbed.process_cluster_settings import FolderState
from grebedyke.testbed.tcp_proxy import ProxyFault

# Default range of a fault's duration in seconds.
MIN_FAULT_DURATION = 0.5
MAX_FAULT_DURATION = 3.5
# Seconds to wait for the rejoin of a node that has lost its stored state.
REJOIN_TIMEOUT = 30
REJOIN_POLL_INTERVAL = 0.1
REJOIN_STATUS_TIMEOUT = 1.0
# Phases in a node's answer once it has rejoined, or if it does not vote.
REJOINED = ('"voting"', '"out"')


async def wait_random_time(trial, shortest=MIN_FAULT_DURATION, longest=MAX_FAULT_DURATION):
    """Waits for a random time in seconds, from `shortest` up to `longest`."""
    await asyncio.sleep(shortest + (longest - shortest) * trial.random.random())


def reserve_node(trial):
    """Returns a random node that is not busy and marks it as busy; None if there is none."""
    name = trial.random_idle_node()
    if name:
        trial.busy_nodes.add(name)
    return name


async def release_node(trial, name):
    """Marks a node as not busy; waits until it has rejoined if it has lost its stored state."""
    trial.busy_nodes.discard(name)
    if name in trial.nodes_without_state:
        await _wait_until_rejoined(trial, name)


async def _wait_until_rejoined(trial, name):
    end = time.monotonic() + REJOIN_TIMEOUT
    while time.monotonic() < end:
        status, text = await trial.cluster.call(name, "GET", "/v1/agreement", timeout=REJOIN_STATUS_TIMEOUT)
        if status == 200 and any(phase in text for phase in REJOINED):
            break
        await asyncio.sleep(REJOIN_POLL_INTERVAL)
    trial.nodes_without_state.discard(name)


def may_lose_state(trial, name):
    """Returns whether a node may lose its stored state now; if so, records that it does.

    The consensus cannot survive the loss of a majority's state, so at most a minority of the voters may be
    without their state or busy.
    """
    cluster = trial.cluster
    if cluster.number(name) in cluster.voters:
        disturbed = trial.nodes_without_state | trial.busy_nodes
        voters = {other for other in disturbed if cluster.number(other) in cluster.voters} | {name}
        if len(voters) > (len(cluster.voters) - 1) // 2:
            return False
    trial.nodes_without_state.add(name)
    return True


def loop_time():
    """Returns the event loop's time, the clock of the times that clients and executors record."""
    return asyncio.get_running_loop().time()


# Processes.


async def pause_node(trial):
    """Stops a node's process with a signal, for longer than any lease."""
    name = reserve_node(trial)
    if name:
        start = loop_time()
        trial.cluster.pause(name)
        await wait_random_time(trial, 1.0, 4.0)
        trial.cluster.resume(name)
        trial.busy_nodes.discard(name)
        trial.checker.node_disturbed(name, start, loop_time())


async def kill_node(trial, folder=FolderState.SAME):
    """Kills a node and starts it again with its folder in this `FolderState`."""
    name = reserve_node(trial)
    if name:
        start = loop_time()
        if folder == FolderState.SAME or may_lose_state(trial, name):
            await trial.cluster.end(name)
            await wait_random_time(trial, 0.1, 1.5)
            await trial.cluster.restart(name, folder)
            trial.checker.node_disturbed(name, start, loop_time())
        await release_node(trial, name)


async def take_over_node(trial):
    """Starts a new process of a node, which takes over from the serving process in a hot restart."""
    name = reserve_node(trial)
    if name:
        await trial.cluster.take_over(name)
        trial.busy_nodes.discard(name)


async def reload_node(trial):
    """Makes a node reload changed settings or an invalid file, and then the original settings."""
    name = reserve_node(trial)
    if name:
        is_valid = trial.random.choice((True, False))
        if is_valid:
            trial.cluster.reload(name, _lower_attempt_limit)
        else:
            trial.cluster.reload_invalid_file(name)
        await wait_random_time(trial, 0.2, 1.0)
        trial.cluster.reload(name)
        trial.busy_nodes.discard(name)


def _lower_attempt_limit(node_configuration):
    node_configuration["settings"]["limits"]["maxForwards"] -= 1


# The network.


async def cut_links(trial):
    """Cuts random links, all links from a node, all links to a node, or all links between two parts."""
    relay = trial.cluster.relay
    draw = trial.random
    pattern = draw.randrange(4)
    links = list(relay.links)
    node = draw.randrange(relay.node_count)
    part = {other for other in range(relay.node_count) if draw.random() < 0.5}
    cut_by_pattern = [
        [link for link in links if draw.random() < 0.3],
        [link for link in links if link[0] == node],
        [link for link in links if link[1] == node],
        [link for link in links if (link[0] in part) != (link[1] in part)],
    ]
    cut = cut_by_pattern[pattern]
    for link in cut:
        relay.links[link].is_cut = True
    await wait_random_time(trial)
    for link in cut:
        relay.links[link].is_cut = False


async def degrade_links(trial):
    """Makes all links lose, duplicate, corrupt, reorder and delay datagrams."""
    for link in trial.cluster.relay.links.values():
        link.loss = 0.1
        link.duplication = 0.1
        link.corruption = 0.05
        link.reordering = 0.2
        link.jitter = 0.05
    await wait_random_time(trial)
    for link in trial.cluster.relay.links.values():
        link.loss = 0.0
        link.duplication = 0.0
        link.corruption = 0.0
        link.reordering = 0.0
        link.jitter = 0.0


async def stall_links(trial):
    """Holds back all datagrams from or to a node, and then delivers them in a burst."""
    relay = trial.cluster.relay
    node = trial.random.randrange(relay.node_count)
    end = trial.random.randrange(2)
    stalled = [link for link in relay.links if link[end] == node]
    for link in stalled:
        relay.links[link].is_stalled = True
    await wait_random_time(trial)
    for link in stalled:
        relay.release(*link)


async def degrade_discovery(trial):
    """Makes discovery unresponsive, slow or unreachable for one node."""
    proxy = trial.cluster.proxies[trial.random.choice([*trial.cluster.nodes])]
    proxy.set_fault(trial.random.choice((ProxyFault.SILENT, ProxyFault.RESET, ProxyFault.SLOW)))
    await wait_random_time(trial)
    proxy.set_fault(None)


# Disks and folders.


async def fail_disk(trial):
    """Makes a node's disk stall, or report errors for its writes."""
    name = reserve_node(trial)
    if name:
        faults = (
            DiskFault.STALL,
            DiskFault.FULL,
            DiskFault.SYNC_FAILS,
            DiskFault.READ_ONLY,
            DiskFault.SHORT,
        )
        fault = trial.random.choice(faults)
        if fault is DiskFault.STALL or may_lose_state(trial, name):
            trial.cluster.set_disk_faults(name, fault)
            await wait_random_time(trial)
            trial.cluster.set_disk_faults(name)
        await release_node(trial, name)


async def fake_disk_writes(trial):
    """Makes a disk acknowledge writes that it loses or tears for a while, and then kills the node."""
    name = reserve_node(trial)
    if name:
        start = loop_time()
        if may_lose_state(trial, name):
            trial.cluster.set_disk_faults(name, trial.random.choice((DiskFault.LOST_WRITES, DiskFault.TORN)))
            await wait_random_time(trial)
            await trial.cluster.end(name)
            trial.cluster.set_disk_faults(name)
            await trial.cluster.restart(name)
            trial.checker.node_disturbed(name, start, loop_time())
        await release_node(trial, name)


async def copy_folder(trial):
    """Copies a node's folder, for a later start with the older copy."""
    trial.cluster.copy_folder(trial.random.choice([*trial.cluster.nodes]))


# The names are printed by the command line. Their order determines the faults that a seed draws.
FAULTS = {
    "cut": cut_links,
    "bad links": degrade_links,
    "stall": stall_links,
    "stop": pause_node,
    "kill": kill_node,
    "older folder": partial(kill_node, folder=FolderState.OLDER),
    "empty folder": partial(kill_node, folder=FolderState.EMPTY),
    "spoilt folder": partial(kill_node, folder=FolderState.CORRUPT),
    "copy": copy_folder,
    "bad disk": fail_disk,
    "lying disk": fake_disk_writes,
    "bad list": degrade_discovery,
    "takeover": take_over_node,
    "reload": reload_node,
}
