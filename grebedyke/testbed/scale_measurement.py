"""Measures a scale run in windows: the usage of each node between two readings of all counters."""

import asyncio
import os
from collections import Counter
from statistics import median
from typing import NamedTuple

from grebedyke.testbed.scale_figures import NodeUsage, Window, reference_time_us

# The memory of the components is not measured in shorter windows, in seconds.
MIN_MEMORY_WINDOW = 1
# The initial counters of a node whose process has started within the window.
INITIAL_COUNTERS = {"counts": [0] * 4, "kinds": {}, "took": 0.0, "calls": 0}


class Reading(NamedTuple):
    """All counters at one time.

    Attributes:
        counters: The counters of each running `ChildProcess`.
        dropped: Number of datagrams dropped so far because of a full receive buffer.
        values: Number of values chosen so far.
        component_memory: Memory of the components, by node; empty if it was not measured.
    """

    counters: dict
    dropped: int
    values: int
    component_memory: dict


class Measurement:
    """The measurements of one run.

    Attributes:
        windows: The `Window`s by name, in the order of measurement.
    """

    def __init__(self, run):
        self.windows = {}
        self._run = run

    async def read(self, with_memory=False):
        """Returns a `Reading`, including the memory of the components if `with_memory` is true."""
        component_memory = await self._read_component_memory() if with_memory else {}
        dropped = dropped_datagrams(self._run.layout.host)
        running = self._run.running_children()
        answers = await asyncio.gather(*(child.command("mark") for child in running))
        counters = dict(zip(running, answers, strict=True))
        return Reading(counters, dropped, len(self._run.checker.values), component_memory)

    async def _read_component_memory(self):
        component_memory = {}
        for answer in await self._run.command_all("weigh"):
            component_memory |= {int(node): node_memory for node, node_memory in answer["nodes"].items()}
        return component_memory

    async def measure(self, name, seconds, known_roles=None):
        """Measures a window that starts now.

        Args:
            name: Name of the window.
            seconds: Length of the window.
            known_roles: Roles that the run knows in addition to those that nodes report, by node.
        """
        has_memory = seconds >= MIN_MEMORY_WINDOW
        start = await self.read(has_memory)
        await self._run.checker.poll_for(seconds)
        answers = await self._read_end(has_memory)
        self.add_window(name, start, answers, known_roles or {})

    async def _read_end(self, with_memory):
        """Reads the counters before the memory, so that they exclude the cost of measuring memory."""
        reading = await self.read()
        return (
            reading._replace(component_memory=await self._read_component_memory()) if with_memory else reading
        )

    def add_window(self, name, start, end, known_roles):
        """Adds the window between two `Reading`s."""
        nodes = []
        lag = 0.0
        late_checks = []
        for child, now in end.counters.items():
            before = start.counters.get(child)
            if len(child.nodes) > 1:
                lag = max(lag, now["lag"])
                late_checks.append(now["late"])
            nodes += _usages(child, before, now, end.component_memory, known_roles)
        lengths = [
            now["at"] - start.counters[child]["at"]
            for child, now in end.counters.items()
            if child in start.counters
        ]
        window = Window(
            seconds=median(lengths),
            lag_ms=lag * 1000,
            values=end.values - start.values,
            reference_us=reference_time_us(),
            late_checks=max(late_checks, default=0.0),
            memory=sum(now["memory"]["own"] for now in end.counters.values()),
            dropped=dropped_datagrams(self._run.layout.host) - start.dropped,
            nodes=nodes,
            kinds=dict(sum((Counter(usage.kinds) for usage in nodes), Counter())),
            load=os.getloadavg()[0],
            grown=_growth(start.component_memory, end.component_memory),
        )
        self.windows[name] = window
        late = f"event loop late by at most {window.lag_ms:.0f} ms"
        self._run.show_progress(f"{name}: {window.seconds:.0f} s measured, {late}")


def _usages(child, before, now, component_memory, known_roles):
    """Returns the `NodeUsage` of each node of a process."""
    started_at = before["at"] if before else now["began"]
    seconds = now["at"] - started_at
    cpu_before = before["cpu"] if before else 0
    process_figures = {
        "cpu_process": (now["cpu"] - cpu_before) / seconds * 100 / len(child.nodes),
        "memory": now["memory"]["own"] / len(child.nodes),
    }
    if len(child.nodes) == 1:
        # Includes memory shared with other processes.
        process_figures["resident"] = now["memory"]["resident"]
    usages = []
    for name, counters in now["nodes"].items():
        node = int(name)
        earlier = before["nodes"][name] if before else INITIAL_COUNTERS
        counts = _rates(earlier, counters, seconds) | process_figures
        if node in component_memory:
            counts |= {"objects": component_memory[node]["objects"], "state": component_memory[node]["bytes"]}
        kinds = {kind: count - earlier["kinds"].get(kind, 0) for kind, count in counters["kinds"].items()}
        usages.append(
            NodeUsage(
                node=node,
                seconds=seconds,
                is_real=child.is_real,
                role=combined_role(known_roles.get(node), counters["role"]),
                counts=counts,
                kinds=kinds,
            )
        )
    return usages


def _rates(before, now, seconds):
    """Returns a node's rates by names of `FIGURE_NAMES`."""
    differences = [last - first for last, first in zip(now["counts"], before["counts"], strict=True)]
    names = ("messages_out", "bytes_out", "messages_in", "bytes_in")
    counts = {name: difference / seconds for name, difference in zip(names, differences, strict=True)}
    counts["cpu_parts"] = (now["took"] - before["took"]) / seconds * 100
    counts["calls"] = (now["calls"] - before["calls"]) / seconds
    return counts


def _growth(before, after):
    """Returns the number of entries by which containers have grown, by attribute path.

    The result is the mean over the containers at a path, and the maximum over the nodes.
    """
    grown = {}
    for node, node_memory in after.items() if before else ():
        earlier = before.get(node, {"lengths": {}})["lengths"]
        for path, (entries, containers) in node_memory["lengths"].items():
            growth = (entries - earlier.get(path, (0, 0))[0]) / max(containers, 1)
            grown[path] = max(grown.get(path, 0), growth)
    return {path: growth for path, growth in grown.items() if growth > 0}


def combined_role(known_role, role):
    """Combines the role that the run knows with the role that the node reports.

    >>> combined_role("driver", "voter"), combined_role("driver", "holder"), combined_role(None, "holder")
    ('driver', 'holder and driver', 'holder')
    """
    if known_role and role == "holder":
        return f"holder and {known_role}"
    return known_role or role


def dropped_datagrams(host):
    """Returns the number of datagrams dropped because of full buffers at sockets of a loopback address."""
    # The kernel's table shows addresses in hexadecimal, with the last byte first.
    address = "".join(f"{int(figure):02X}" for figure in reversed(host.split(".")))
    dropped = 0
    with open("/proc/net/udp") as file:
        for line in file:
            words = line.split()
            if words[1].startswith(address + ":"):
                dropped += int(words[-1])
    return dropped
