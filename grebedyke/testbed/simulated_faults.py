"""The faults of a simulated cluster: each function injects one, drawn from the cluster's random generator.

Faults that last schedule their own end; the cluster records the end of the last one.
"""

from functools import partial

from grebedyke.testbed.simulated_settings import LEASE, NETWORK_DELAY
from grebedyke.units import TICKS_PER_SECOND

# Default range of the duration of a fault, in ticks.
MIN_FAULT_DURATION = TICKS_PER_SECOND // 2
MAX_FAULT_DURATION = 5 * TICKS_PER_SECOND
# Maximum time until a lost executor starts again, in ticks.
MAX_EXECUTOR_DOWNTIME = 12 * TICKS_PER_SECOND
# Degraded links: the maximum probabilities, and the mean delay in ticks.
MAX_LOSS_PROBABILITY = 0.4
MAX_DUPLICATION_PROBABILITY = 0.4
DEGRADED_LINK_DELAY = 400


def schedule_end(cluster, call, shortest=MIN_FAULT_DURATION, longest=MAX_FAULT_DURATION):
    """Schedules `call`, which ends a fault, after a random time from `shortest` up to `longest` ticks."""
    duration = cluster.random.randrange(shortest, longest)
    cluster.last_fault_end = max(cluster.last_fault_end, cluster.now + duration)
    cluster.schedule(duration, call)


def random_node(cluster):
    """Returns a random node."""
    return cluster.random.choice(cluster.nodes)


def may_lose_state(cluster, node):
    """Returns whether a node may lose its persisted state now.

    No consensus protocol survives the loss of a majority's state, so at most a minority of the voters may be
    without it at the same time.
    """
    if node.node_id not in cluster.voters:
        return True
    others = [other for other in cluster.nodes if other.node_id in cluster.voters and other is not node]
    without_persisted_votes = [other for other in others if not other.has_persisted_votes()]
    return len(without_persisted_votes) + 1 <= (len(cluster.voters) - 1) // 2


# The network.


def cut_links(cluster):
    """Cuts random single links, random directions of one node's links, or all links between two sides."""
    draw = cluster.random
    nodes = range(cluster.node_count)
    links = [(sender, receiver) for sender in nodes for receiver in nodes if sender != receiver]
    pattern = draw.randrange(3)
    if pattern == 0:
        cut = {link for link in links if draw.random() < 0.3}
    elif pattern == 1:
        node_id = draw.randrange(cluster.node_count)
        cut = {link for link in links if link[draw.randrange(2)] == node_id}
    else:
        side = {node_id for node_id in nodes if draw.random() < 0.5}
        cut = {link for link in links if (link[0] in side) != (link[1] in side)}
    cluster.cut_links = cluster.cut_links | cut

    def restore():
        """Restores the links."""
        cluster.cut_links = cluster.cut_links - cut

    schedule_end(cluster, restore)


def stall_links(cluster):
    """Holds back messages to one node, or from it; at the end they are delivered in a burst."""
    node_id = cluster.random.randrange(cluster.node_count)
    end = cluster.random.randrange(2)
    stalled = {
        link for link in _links_of(cluster, node_id) if link[end] == node_id and cluster.random.random() < 0.7
    }
    cluster.stalled_links = cluster.stalled_links | stalled
    schedule_end(cluster, partial(_release_links, cluster, stalled))


def _links_of(cluster, node_id):
    others = [other for other in range(cluster.node_count) if other != node_id]
    return [link for other in others for link in ((node_id, other), (other, node_id))]


def _release_links(cluster, released):
    cluster.stalled_links = cluster.stalled_links - released
    messages = cluster.stalled_messages
    cluster.stalled_messages = [message for message in messages if message[:2] not in released]
    for sender, receiver, data in messages:
        # Only a part of the burst is delivered, as finite receive buffers drop the rest.
        if (sender, receiver) in released and cluster.random.random() < 0.5:
            cluster.deliver(sender, receiver, data)


def degrade_links(cluster):
    """Loses, duplicates and delays messages on all links."""
    cluster.loss_probability = cluster.random.random() * MAX_LOSS_PROBABILITY
    cluster.duplication_probability = cluster.random.random() * MAX_DUPLICATION_PROBABILITY
    cluster.mean_delay = DEGRADED_LINK_DELAY

    def restore():
        """Restores all links."""
        cluster.loss_probability = 0.0
        cluster.duplication_probability = 0.0
        cluster.mean_delay = NETWORK_DELAY

    schedule_end(cluster, restore)


# Processes and their files.


def kill_node(cluster):
    """Kills a node and restarts it later with its files."""
    node = random_node(cluster)
    if node.is_running:
        node.crash()
        schedule_end(cluster, node.start_if_down)


def restore_older_files(cluster):
    """Kills a node and restarts it later with an older copy of its files, if there is one."""
    node = random_node(cluster)
    if node.is_running and may_lose_state(cluster, node):
        node.crash()
        if node.disk.older_files:
            node.disk.files = dict(node.disk.older_files)
        schedule_end(cluster, node.start_if_down)


def delete_files(cluster):
    """Kills a node and restarts it later without its files."""
    node = random_node(cluster)
    if node.is_running and may_lose_state(cluster, node):
        node.crash()
        node.disk.files = {}
        schedule_end(cluster, node.start_if_down)


def corrupt_file(cluster):
    """Kills a node, flips one bit of one of its files, and restarts it later."""
    node = random_node(cluster)
    if not (node.is_running and node.disk.files and may_lose_state(cluster, node)):
        return
    node.crash()
    if node.disk.files:
        name = cluster.random.choice(sorted(node.disk.files))
        data = node.disk.files[name]
        position = cluster.random.randrange(len(data))
        flipped = bytes([data[position] ^ 1 << cluster.random.randrange(8)])
        node.disk.files[name] = data[:position] + flipped + data[position + 1 :]
    schedule_end(cluster, node.start_if_down)


def kill_all_nodes(cluster):
    """Kills all nodes at the same time and restarts each after a random time."""
    for node in cluster.nodes:
        if node.is_running:
            node.crash()
            schedule_end(cluster, node.start_if_down, 1, 2 * TICKS_PER_SECOND)


def pause_node(cluster):
    """Pauses a node's process, as by SIGSTOP, and resumes it later, mostly after more than a lease."""
    node = random_node(cluster)
    if not node.is_running or node.is_paused:
        return
    node.is_paused = True
    process = node.process

    def resume():
        """Resumes the process unless it has ended."""
        if node.process == process and node.is_paused:
            node.resume()

    schedule_end(cluster, resume, TICKS_PER_SECOND, 4 * LEASE)


def copy_files(cluster):
    """Copies a node's files for a later `restore_older_files`."""
    node = random_node(cluster)
    node.disk.older_files = dict(node.disk.files)


def slow_disk(cluster):
    """Makes a node's writes to disk take seconds."""
    disk = random_node(cluster).disk
    disk.slow = True
    schedule_end(cluster, partial(setattr, disk, "slow", False))


def failing_disk(cluster):
    """Makes a node's writes to disk fail."""
    node = random_node(cluster)
    if may_lose_state(cluster, node):
        node.disk.fails = True
        schedule_end(cluster, partial(setattr, node.disk, "fails", False))


# Executors.


def lose_executor(cluster):
    """Stops an executor without a plan; it starts again later, cold."""
    executor = cluster.random.choice(cluster.executors)
    if not executor.is_up or executor.is_being_worked_on:
        return
    executor.set_running(cluster.now, False)
    cluster.propagate_endpoint_list()

    def start_again():
        """Starts the executor unless operators are working on it."""
        if not executor.is_being_worked_on and not executor.is_up:
            executor.set_running(cluster.now, True)
            cluster.propagate_endpoint_list()

    schedule_end(cluster, start_again, longest=MAX_EXECUTOR_DOWNTIME)


# Faults by the names that the command line prints. Their order determines the fault that a seed draws.
FAULTS = {
    "cut": cut_links,
    "stalled": stall_links,
    "bad links": degrade_links,
    "kill": kill_node,
    "stop": pause_node,
    "copy": copy_files,
    "older folder": restore_older_files,
    "empty folder": delete_files,
    "spoilt file": corrupt_file,
    "all killed": kill_all_nodes,
    "slow disk": slow_disk,
    "failing disk": failing_disk,
    "executor lost": lose_executor,
}
