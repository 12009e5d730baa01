"""The faults of a trial with real processes: each function injects one, waits, and ends it.

All of them take the `Trial`, whose random numbers they draw from.
"""

import asyncio
import time
from functools import partial

from grebedyke.testbed.launcher import DiskFault
from grebedyke.testbed.process_cluster_settings import FolderState
from grebedyke.testbed.tcp_proxy import ProxyFault

# How long a fault lasts unless stated otherwise, in seconds.
SHORTEST_FAULT = 0.5
LONGEST_FAULT = 3.5
# A node that has forgotten rejoins within so many seconds.
REJOIN_TIMEOUT = 30
REJOIN_POLL_INTERVAL = 0.1
REJOIN_STATUS_TIMEOUT = 1.0
# What a node says of its memory once it has rejoined, or does not vote.
REJOINED = ('"voting"', '"out"')


async def wait_a_while(trial, shortest=SHORTEST_FAULT, longest=LONGEST_FAULT):
    """Waits for a drawn time, in seconds."""
    await asyncio.sleep(shortest + (longest - shortest) * trial.random.random())


def seize_node(trial):
    """Draws a node that no other fault has in hand, and takes it; None where there is none."""
    name = trial.any_node()
    if name:
        trial.busy_nodes.add(name)
    return name


async def free_node(trial, name):
    """Gives a node back, and waits until it has rejoined where it has lost its memory."""
    trial.busy_nodes.discard(name)
    if name in trial.forgetful_nodes:
        await _until_rejoined(trial, name)


async def _until_rejoined(trial, name):
    end = time.monotonic() + REJOIN_TIMEOUT
    while time.monotonic() < end:
        status, text = await trial.cluster.call(name, "GET", "/v1/agreement", timeout=REJOIN_STATUS_TIMEOUT)
        if status == 200 and any(phase in text for phase in REJOINED):
            break
        await asyncio.sleep(REJOIN_POLL_INTERVAL)
    trial.forgetful_nodes.discard(name)


def may_forget(trial, name):
    """Returns whether a node may lose its memory now, and notes that it does.

    No protocol outlives the loss of what a majority remembers: one minority of the voters at a time forgets.
    """
    cluster = trial.cluster
    if cluster.number(name) in cluster.voters:
        disturbed = trial.forgetful_nodes | trial.busy_nodes
        voters = {other for other in disturbed if cluster.number(other) in cluster.voters} | {name}
        if len(voters) > (len(cluster.voters) - 1) // 2:
            return False
    trial.forgetful_nodes.add(name)
    return True


def now():
    """Returns the event loop's time, by which clients and executors note when things came about."""
    return asyncio.get_running_loop().time()


# Processes.


async def pause_node(trial):
    """Stops a node's process by a signal, for longer than any lease."""
    name = seize_node(trial)
    if name:
        start = now()
        trial.cluster.pause(name)
        await wait_a_while(trial, 1.0, 4.0)
        trial.cluster.resume(name)
        trial.busy_nodes.discard(name)
        trial.checker.node_disturbed(name, start, now())


async def kill_node(trial, folder=FolderState.SAME):
    """Kills a node, and starts it again with its folder as the `FolderState` says."""
    name = seize_node(trial)
    if name:
        start = now()
        if folder == FolderState.SAME or may_forget(trial, name):
            await trial.cluster.end(name)
            await wait_a_while(trial, 0.1, 1.5)
            await trial.cluster.restart(name, folder)
            trial.checker.node_disturbed(name, start, now())
        await free_node(trial, name)


async def take_over_node(trial):
    """Starts a new process beside the one that serves, which takes over its clients."""
    name = seize_node(trial)
    if name:
        await trial.cluster.take_over(name)
        trial.busy_nodes.discard(name)


async def reload_node(trial):
    """Has a node read other settings and back, or a file that is none."""
    name = seize_node(trial)
    if name:
        is_valid = trial.random.choice((True, False))
        if is_valid:
            trial.cluster.reload(name, _lower_attempt_limit)
        else:
            trial.cluster.reload_faulty_file(name)
        await wait_a_while(trial, 0.2, 1.0)
        trial.cluster.reload(name)
        trial.busy_nodes.discard(name)


def _lower_attempt_limit(node_configuration):
    node_configuration["settings"]["limits"]["maxForwards"] -= 1


# The network.


async def cut_links(trial):
    """Cuts links drawn singly, all links from or to one node, or all links between two sides."""
    relay = trial.cluster.relay
    draw = trial.random
    pattern = draw.randrange(4)
    links = list(relay.links)
    node = draw.randrange(relay.node_count)
    side = {other for other in range(relay.node_count) if draw.random() < 0.5}
    cut_by_pattern = [
        [link for link in links if draw.random() < 0.3],
        [link for link in links if link[0] == node],
        [link for link in links if link[1] == node],
        [link for link in links if (link[0] in side) != (link[1] in side)],
    ]
    cut = cut_by_pattern[pattern]
    for link in cut:
        relay.links[link].is_cut = True
    await wait_a_while(trial)
    for link in cut:
        relay.links[link].is_cut = False


async def degrade_links(trial):
    """Loses, duplicates, corrupts, reorders and delays datagrams on all links."""
    for link in trial.cluster.relay.links.values():
        link.loss = 0.1
        link.duplication = 0.1
        link.corruption = 0.05
        link.reordering = 0.2
        link.jitter = 0.05
    await wait_a_while(trial)
    for link in trial.cluster.relay.links.values():
        link.loss = 0.0
        link.duplication = 0.0
        link.corruption = 0.0
        link.reordering = 0.0
        link.jitter = 0.0


async def stall_links(trial):
    """Holds back datagrams to one node, or from it; later they come as a flood."""
    relay = trial.cluster.relay
    node = trial.random.randrange(relay.node_count)
    end = trial.random.randrange(2)
    stalled = [link for link in relay.links if link[end] == node]
    for link in stalled:
        relay.links[link].is_stalled = True
    await wait_a_while(trial)
    for link in stalled:
        relay.release(*link)


async def degrade_discovery(trial):
    """Makes discovery silent, slow or out of reach for one node."""
    proxy = trial.cluster.proxies[trial.random.choice([*trial.cluster.nodes])]
    proxy.set_fault(trial.random.choice((ProxyFault.SILENT, ProxyFault.RESET, ProxyFault.SLOW)))
    await wait_a_while(trial)
    proxy.set_fault(None)


# Disks and folders.


async def fail_disk(trial):
    """Makes a node's disk slow, or has it report that it does not write."""
    name = seize_node(trial)
    if name:
        faults = (
            DiskFault.STALL,
            DiskFault.FULL,
            DiskFault.SYNC_FAILS,
            DiskFault.READ_ONLY,
            DiskFault.SHORT,
        )
        fault = trial.random.choice(faults)
        if fault is DiskFault.STALL or may_forget(trial, name):
            trial.cluster.set_disk_faults(name, fault)
            await wait_a_while(trial)
            trial.cluster.set_disk_faults(name)
        await free_node(trial, name)


async def lie_disk(trial):
    """Has a disk report writes as done for a while that are not, or half; then the process is killed."""
    name = seize_node(trial)
    if name:
        start = now()
        if may_forget(trial, name):
            trial.cluster.set_disk_faults(name, trial.random.choice((DiskFault.LIES, DiskFault.TORN)))
            await wait_a_while(trial)
            await trial.cluster.end(name)
            trial.cluster.set_disk_faults(name)
            await trial.cluster.restart(name)
            trial.checker.node_disturbed(name, start, now())
        await free_node(trial, name)


async def copy_folder(trial):
    """Copies a node's folder, for a later start with an older one."""
    trial.cluster.copy_folder(trial.random.choice([*trial.cluster.nodes]))


# By the names that the command line prints. Their order decides which fault a seed draws.
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
    "lying disk": lie_disk,
    "bad list": degrade_discovery,
    "takeover": take_over_node,
    "reload": reload_node,
}
