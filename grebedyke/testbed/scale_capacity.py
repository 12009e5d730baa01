"""Checks that a scale run fits this machine: processes, ports, memory and file descriptors."""

import resource
import socket
from typing import NamedTuple

from grebedyke.errors import GrebedykeError

# Limits of a run: number of processes, and share of the machine's memory.
MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5
# Sizes in bytes: of a process, of each hollow node in it, of a real node, and of a thread's stack.
PROCESS_SIZE = 40 << 20
HOLLOW_NODE_SIZE = 1 << 20
REAL_NODE_SIZE = 50 << 20
STACK_SIZE = 8 << 20
# File descriptors of a hollow node (its socket, the lock of its folder and a file being written), of a child
# in this process (three pipes and its child watcher), of an executor, and of any process besides these.
HOLLOW_NODE_DESCRIPTORS = 3
CHILD_DESCRIPTORS = 4
EXECUTOR_DESCRIPTORS = 2
PROCESS_DESCRIPTORS = 64
PORT_LIMIT = 65_536


class CapacityError(GrebedykeError):
    """A scale run does not fit this machine; the message is a single line."""


class MachineMemory(NamedTuple):
    """The memory of this machine, in bytes.

    Attributes:
        total: The whole memory.
        available: Memory available to new processes.
    """

    total: int
    available: int


def check_capacity(layout):
    """Checks that the run of a `FleetLayout` fits this machine.

    Raises:
        CapacityError: The run does not fit.
    """
    groups = layout.hollow_groups()
    _check_processes(layout, len(groups) + len(layout.real_nodes))
    _check_memory(layout, groups)
    _check_descriptors(layout, groups)
    for kind, port in _required_ports(layout):
        _check_port(layout.host, kind, port)


def _check_processes(layout, processes):
    settings = layout.settings
    if processes > MAX_PROCESSES:
        raise CapacityError(
            f"{processes} processes are more than {MAX_PROCESSES}: lower --real or raise --each"
        )
    if settings.first_port + 2 * settings.nodes > PORT_LIMIT:
        raise CapacityError(
            f"ports end at {PORT_LIMIT - 1}: {2 * settings.nodes} ports from {settings.first_port} are needed"
        )


def _check_memory(layout, groups):
    hollow_count = layout.settings.nodes - len(layout.real_nodes)
    needed = len(groups) * PROCESS_SIZE + hollow_count * HOLLOW_NODE_SIZE
    needed += len(layout.real_nodes) * REAL_NODE_SIZE
    memory = machine_memory()
    allowed = min(int(memory.total * MAX_MEMORY_SHARE), memory.available)
    if needed > allowed:
        raise CapacityError(f"{needed >> 20} MB are needed and {allowed >> 20} MB are there: lower --nodes")
    # Each node has a thread for disk writes, whose stack uses address space even if it is not resident.
    sizes = [PROCESS_SIZE + len(group) * (HOLLOW_NODE_SIZE + STACK_SIZE) for group in groups]
    largest = max(sizes, default=0)
    limit = resource.getrlimit(resource.RLIMIT_AS)[0]
    if 0 <= limit < largest:
        raise CapacityError(
            f"a process needs {largest >> 20} MB of address space and may have {limit >> 20} MB (ulimit -v)"
        )


def _check_descriptors(layout, groups):
    processes = len(groups) + len(layout.real_nodes)
    executors = layout.settings.executors
    own = CHILD_DESCRIPTORS * processes + EXECUTOR_DESCRIPTORS * executors + PROCESS_DESCRIPTORS
    group_descriptors = [HOLLOW_NODE_DESCRIPTORS * len(group) + PROCESS_DESCRIPTORS for group in groups]
    max_descriptors = max([*group_descriptors, own])
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if 0 <= limit < max_descriptors:
        raise CapacityError(
            f"{max_descriptors} descriptors are needed and {limit} allowed (ulimit -n): lower --each"
        )


def _required_ports(layout):
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
            raise CapacityError(f"port {port} of {host}: {problem.strerror.lower()}") from None


def machine_memory():
    """Returns the `MachineMemory` of this machine."""
    sizes = {}
    with open("/proc/meminfo") as file:
        for line in file:
            words = line.split()
            sizes[words[0].rstrip(":")] = int(words[1]) * 1024
    return MachineMemory(sizes["MemTotal"], sizes["MemAvailable"])
