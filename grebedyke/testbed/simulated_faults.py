"""The faults of a simulated cluster: each function injects one, drawn from the cluster's random numbers.

A fault that lasts ends by itself; the cluster notes the end of the last one.
"""

from functools import partial

from grebedyke.testbed.simulated_settings import LEASE, NETWORK_DELAY
from grebedyke.units import TICKS_PER_SECOND

# How long a fault lasts unless stated otherwise, in ticks.
SHORTEST_FAULT = TICKS_PER_SECOND // 2
LONGEST_FAULT = 5 * TICKS_PER_SECOND
# An executor that is lost by itself comes back after so many ticks at most.
LONGEST_LOSS = 12 * TICKS_PER_SECOND
# Links at their worst: the largest probabilities, and the mean delay in ticks.
WORST_LOSS = 0.4
WORST_DUPLICATION = 0.4
BAD_LINK_DELAY = 400


def end_later(cluster, call, shortest=SHORTEST_FAULT, longest=LONGEST_FAULT):
    """Ends a fault by `call` after a drawn time in ticks, from `shortest` up to `longest`."""
    duration = cluster.random.randrange(shortest, longest)
    cluster.last_fault_end = max(cluster.last_fault_end, cluster.now + duration)
    cluster.schedule(duration, call)


def any_node(cluster):
    """Draws a node."""
    return cluster.random.choice(cluster.nodes)


def may_forget(cluster, node):
    """Returns whether a node may lose its memory now.

    No protocol outlives the loss of what a majority remembers: one minority of the voters at a time forgets.
    """
    if node.node_id not in cluster.voters:
        return True
    others = [other for other in cluster.nodes if other.node_id in cluster.voters and other is not node]
    forgetful = [other for other in others if not other.remembers_votes()]
    return len(forgetful) + 1 <= (len(cluster.voters) - 1) // 2


# The network.


def cut_links(cluster):
    """Cuts links drawn singly, all links into or out of one node, or all links between two sides."""
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
        """Connects the links again."""
        cluster.cut_links = cluster.cut_links - cut

    end_later(cluster, restore)


def stall_links(cluster):
    """Holds back messages to one node, or from it; later they come as a flood."""
    node_id = cluster.random.randrange(cluster.node_count)
    end = cluster.random.randrange(2)
    stalled = {
        link for link in _links_of(cluster, node_id) if link[end] == node_id and cluster.random.random() < 0.7
    }
    cluster.stalled_links = cluster.stalled_links | stalled
    end_later(cluster, partial(_release_links, cluster, stalled))


def _links_of(cluster, node_id):
    others = [other for other in range(cluster.node_count) if other != node_id]
    return [link for other in others for link in ((node_id, other), (other, node_id))]


def _release_links(cluster, released):
    cluster.stalled_links = cluster.stalled_links - released
    messages = cluster.stalled_messages
    cluster.stalled_messages = [message for message in messages if message[:2] not in released]
    for sender, receiver, data in messages:
        # Of a flood not all gets through, as buffers end somewhere.
        if (sender, receiver) in released and cluster.random.random() < 0.5:
            cluster.deliver(sender, receiver, data)


def degrade_links(cluster):
    """Loses, duplicates and delays messages on all links."""
    cluster.loss_probability = cluster.random.random() * WORST_LOSS
    cluster.duplication_probability = cluster.random.random() * WORST_DUPLICATION
    cluster.mean_delay = BAD_LINK_DELAY

    def restore():
        """Makes all links good again."""
        cluster.loss_probability = 0.0
        cluster.duplication_probability = 0.0
        cluster.mean_delay = NETWORK_DELAY

    end_later(cluster, restore)


# Processes and their files.


def kill_node(cluster):
    """Kills a node and starts it again later, with its files."""
    node = any_node(cluster)
    if node.is_running:
        node.crash()
        end_later(cluster, node.start_if_down)


def restore_older_files(cluster):
    """Kills a node and starts it again with an older copy of its files, if there is one."""
    node = any_node(cluster)
    if node.is_running and may_forget(cluster, node):
        node.crash()
        if node.disk.older_files:
            node.disk.files = dict(node.disk.older_files)
        end_later(cluster, node.start_if_down)


def delete_files(cluster):
    """Kills a node and starts it again without its files."""
    node = any_node(cluster)
    if node.is_running and may_forget(cluster, node):
        node.crash()
        node.disk.files = {}
        end_later(cluster, node.start_if_down)


def corrupt_file(cluster):
    """Kills a node and flips one bit of one of its files."""
    node = any_node(cluster)
    if not (node.is_running and node.disk.files and may_forget(cluster, node)):
        return
    node.crash()
    if node.disk.files:
        name = cluster.random.choice(sorted(node.disk.files))
        data = node.disk.files[name]
        position = cluster.random.randrange(len(data))
        flipped = bytes([data[position] ^ 1 << cluster.random.randrange(8)])
        node.disk.files[name] = data[:position] + flipped + data[position + 1 :]
    end_later(cluster, node.start_if_down)


def kill_all_nodes(cluster):
    """Kills all nodes at once; they start again one by one."""
    for node in cluster.nodes:
        if node.is_running:
            node.crash()
            end_later(cluster, node.start_if_down, 1, 2 * TICKS_PER_SECOND)


def pause_node(cluster):
    """Stops a node's process by a signal, mostly for longer than a lease, and lets it go on."""
    node = any_node(cluster)
    if not node.is_running or node.is_paused:
        return
    node.is_paused = True
    process = node.process

    def resume():
        """Lets the process go on unless it has ended."""
        if node.process == process and node.is_paused:
            node.resume()

    end_later(cluster, resume, TICKS_PER_SECOND, 4 * LEASE)


def copy_files(cluster):
    """Copies a node's files, for a later `restore_older_files`."""
    node = any_node(cluster)
    node.disk.older_files = dict(node.disk.files)


def slow_disk(cluster):
    """Makes a node's writes to disk take seconds."""
    disk = any_node(cluster).disk
    disk.slow = True
    end_later(cluster, partial(setattr, disk, "slow", False))


def failing_disk(cluster):
    """Makes a node's writes to disk fail."""
    node = any_node(cluster)
    if may_forget(cluster, node):
        node.disk.fails = True
        end_later(cluster, partial(setattr, node.disk, "fails", False))


# Executors.


def lose_executor(cluster):
    """Ends an executor that comes back by itself, cold."""
    executor = cluster.random.choice(cluster.executors)
    if not executor.is_up or executor.is_in_work:
        return
    executor.switch(cluster.now, False)
    cluster.change_endpoint_list()

    def come_back():
        """Starts the executor unless operators have it."""
        if not executor.is_in_work and not executor.is_up:
            executor.switch(cluster.now, True)
            cluster.change_endpoint_list()

    end_later(cluster, come_back, longest=LONGEST_LOSS)


# By the names that the command line prints. Their order decides which fault a seed draws.
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
