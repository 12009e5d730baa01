"""Measures the memory of a node's components: objects, bytes and the length of each container."""

import asyncio
import gc
import sys
import types
from collections import Counter, deque
from typing import NamedTuple

from grebedyke.testbed.instrumentation import NodeProbe

# Objects of these types are not followed, as they and their references do not belong to a component.
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
    """The memory reachable from a node's components.

    Attributes:
        objects: Number of objects.
        size: Their size in bytes.
    """

    objects: int
    size: int


def state_size(components, reassembler):
    """Returns the `StateSize` of a node; objects that nodes share are counted for each of them."""
    seen = set()
    pending = [*components, reassembler]
    size = 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, FOREIGN_TYPES):
            continue
        seen.add(id(item))
        size += sys.getsizeof(item)
        pending += gc.get_referents(item)
    return StateSize(len(seen), size)


def container_lengths(components):
    """Returns (entries, containers) by attribute path: shows containers whose entries are never dropped."""
    walker = _ContainerWalker()
    for component in components:
        walker.walk(type(component).__name__, component)
    return {path: (entries, walker.containers[path]) for path, entries in walker.entries.items()}


class _ContainerWalker:
    """Walks through components and counts their containers.

    Attributes:
        entries: Total number of entries of the containers, by attribute path.
        containers: Number of containers, by attribute path.
    """

    def __init__(self):
        self.entries = Counter()
        self.containers = Counter()
        self._walked = set()

    def walk(self, path, item):
        """Counts all containers reachable from an object at the given path."""
        if isinstance(item, CONTAINERS):
            self.entries[path] += len(item)
            self.containers[path] += 1
            for entry in item.values() if isinstance(item, dict) else item:
                self.walk(path, entry)
        elif self._should_walk(item):
            self._walked.add(id(item))
            for name, value in _attributes(item).items():
                self.walk(f"{path}.{name}", value)

    def _should_walk(self, item):
        is_own = type(item).__module__.startswith("grebedyke.") and not isinstance(item, NodeProbe)
        is_leaf = isinstance(item, (types.FunctionType, type, tuple))
        return is_own and not is_leaf and id(item) not in self._walked


def _attributes(instance):
    names = [name for kind in type(instance).__mro__ for name in getattr(kind, "__slots__", ())]
    slots = {name: getattr(instance, name) for name in names if hasattr(instance, name)}
    return {**slots, **getattr(instance, "__dict__", {})}
