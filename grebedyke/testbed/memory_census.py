"""What hangs on a node's components in memory: objects, bytes, and the length of each container."""

import asyncio
import gc
import sys
import types
from collections import Counter, deque
from typing import NamedTuple

from grebedyke.testbed.instrumentation import NodeProbe

# What these lead to belongs to no component.
FOREIGN_TYPES = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    asyncio.AbstractEventLoop,
    NodeProbe,
)
CONTAINERS = (dict, list, set, frozenset, deque)


class StateSize(NamedTuple):
    """How much memory is reached from a node's components.

    Attributes:
        objects: Number of objects.
        size: Their bytes.
    """

    objects: int
    size: int


def state_size(components, reassembler):
    """Returns the `StateSize` of a node; what several nodes share is counted at each of them."""
    seen = set()
    unexplored = [*components, reassembler]
    size = 0
    while unexplored:
        reached = unexplored.pop()
        if id(reached) in seen or isinstance(reached, FOREIGN_TYPES):
            continue
        seen.add(id(reached))
        size += sys.getsizeof(reached)
        unexplored += gc.get_referents(reached)
    return StateSize(len(seen), size)


def container_lengths(components):
    """Returns (entries, containers) of each place in the components: what is never dropped shows here."""
    census = _ContainerCensus()
    for component in components:
        census.walk(type(component).__name__, component)
    return {path: (entries, census.containers[path]) for path, entries in census.entries.items()}


class _ContainerCensus:
    """Walks through components.

    Attributes:
        entries: Number of entries of all containers at a path of attributes.
        containers: Number of containers there.
    """

    def __init__(self):
        self.entries = Counter()
        self.containers = Counter()
        self._walked = set()

    def walk(self, path, reached):
        """Counts all containers that are reached from an object at this path."""
        if isinstance(reached, CONTAINERS):
            self.entries[path] += len(reached)
            self.containers[path] += 1
            for entry in reached.values() if isinstance(reached, dict) else reached:
                self.walk(path, entry)
        elif self._is_explored(reached):
            self._walked.add(id(reached))
            for name, value in _attributes(reached).items():
                self.walk(f"{path}.{name}", value)

    def _is_explored(self, reached):
        is_own = type(reached).__module__.startswith("grebedyke.") and not isinstance(reached, NodeProbe)
        is_leaf = isinstance(reached, (types.FunctionType, type, tuple))
        return is_own and not is_leaf and id(reached) not in self._walked


def _attributes(instance):
    names = [name for kind in type(instance).__mro__ for name in getattr(kind, "__slots__", ())]
    slots = {name: getattr(instance, name) for name in names if hasattr(instance, name)}
    return {**slots, **getattr(instance, "__dict__", {})}
