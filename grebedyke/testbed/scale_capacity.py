"""Whether a scale run fits this machine: processes, ports, memory and descriptors."""

import resource
import socket
from typing import NamedTuple

from grebedyke.errors import GrebedykeError

# What a run may take of this machine.
MOST_PROCESSES = 300
LARGEST_MEMORY_SHARE = 0.5
# What the parts of a run take, in bytes: a process, a hollow node in it, a real node, a thread's stack.
PROCESS_SIZE = 40 << 20
HOLLOW_NODE_SIZE = 1 << 20
REAL_NODE_SIZE = 50 << 20
STACK_SIZE = 8 << 20
# Descriptors of a hollow node (its socket, its folder's lock and a file being written), of a process as this
# one sees it (three pipes and what watches it), of an executor, and of a process itself.
HOLLOW_NODE_DESCRIPTORS = 3
CHILD_DESCRIPTORS = 4
EXECUTOR_DESCRIPTORS = 2
PROCESS_DESCRIPTORS = 64
PORTS_END = 65_536


class DoesNotFitError(GrebedykeError):
    """A scale run does not fit this machine; the message is one plain line."""


class MachineMemory(NamedTuple):
    """The memory of this machine, in bytes.

    Attributes:
        total: All of it.
        available: What is free for more.
    """

    total: int
    available: int


def check_capacity(layout):
    """Checks that the run of a `FleetLayout` fits this machine.

    Raises:
        DoesNotFitError: It does not.
    """
    groups = layout.hollow_groups()
    _check_processes(layout, len(groups) + len(layout.real_nodes))
    _check_memory(layout, groups)
    _check_descriptors(layout, groups)
    for kind, port in _ports(layout):
        _check_port(layout.host, kind, port)


def _check_processes(layout, processes):
    settings = layout.settings
    if processes > MOST_PROCESSES:
        raise DoesNotFitError(
            f"{processes} processes are more than {MOST_PROCESSES}: fewer --real, more --each"
        )
    if settings.first_port + 2 * settings.nodes > PORTS_END:
        raise DoesNotFitError(
            f"ports end at {PORTS_END - 1}: {2 * settings.nodes} from {settings.first_port} on are needed"
        )


def _check_memory(layout, groups):
    hollow_count = layout.settings.nodes - len(layout.real_nodes)
    needed = len(groups) * PROCESS_SIZE + hollow_count * HOLLOW_NODE_SIZE
    needed += len(layout.real_nodes) * REAL_NODE_SIZE
    memory = machine_memory()
    allowed = min(int(memory.total * LARGEST_MEMORY_SHARE), memory.available)
    if needed > allowed:
        raise DoesNotFitError(f"{needed >> 20} MB are needed and {allowed >> 20} MB are there: fewer --nodes")
    # Each node has a thread for its disk, whose stack is address space though it is not in memory.
    sizes = [PROCESS_SIZE + len(group) * (HOLLOW_NODE_SIZE + STACK_SIZE) for group in groups]
    largest = max(sizes, default=0)
    limit = resource.getrlimit(resource.RLIMIT_AS)[0]
    if 0 <= limit < largest:
        raise DoesNotFitError(
            f"a process may have {limit >> 20} MB, {largest >> 20} MB are needed (ulimit -v)"
        )


def _check_descriptors(layout, groups):
    processes = len(groups) + len(layout.real_nodes)
    executors = layout.settings.executors
    own = CHILD_DESCRIPTORS * processes + EXECUTOR_DESCRIPTORS * executors + PROCESS_DESCRIPTORS
    of_groups = [HOLLOW_NODE_DESCRIPTORS * len(group) + PROCESS_DESCRIPTORS for group in groups]
    most = max([*of_groups, own])
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if 0 <= limit < most:
        raise DoesNotFitError(f"{most} descriptors are needed and {limit} allowed (ulimit -n): fewer --each")


def _ports(layout):
    for node in range(layout.settings.nodes):
        yield socket.SOCK_DGRAM, layout.port(node)
    for node in layout.real_nodes:
        yield socket.SOCK_STREAM, layout.port(node)
        yield socket.SOCK_STREAM, layout.admin_port(node)


def _check_port(host, kind, port):
    with socket.socket(socket.AF_INET, kind) as probe:
        if kind == socket.SOCK_STREAM:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError as problem:
            raise DoesNotFitError(f"port {port} of {host}: {problem.strerror.lower()}") from None


def machine_memory():
    """Returns the `MachineMemory`."""
    sizes = {}
    with open("/proc/meminfo") as file:
        for line in file:
            words = line.split()
            sizes[words[0].rstrip(":")] = int(words[1]) * 1024
    return MachineMemory(sizes["MemTotal"], sizes["MemAvailable"])
