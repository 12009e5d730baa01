"""The settings that a scale run passes to each of its processes."""

import os
from collections import Counter
from dataclasses import dataclass

import orjson

from grebedyke.testbed.demand_generator import DemandGenerator, DemandSettings
from grebedyke.testbed.instrumentation import LearnedValues, NodeProbe

# Environment variable with a `ProcessSettings` as JSON. Only a scale run sets it.
SETTINGS_VARIABLE = "GREBEDYKE_SCALE"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """The settings of a process and its nodes.

    Attributes:
        configuration_file: Path of the first node's configuration file.
        folder: The process's folder.
        seed: The run's seed.
        endpoint_rows: The endpoint list.
        broken_build: Name of a broken build, None for the unchanged program.
        nodes: [number, names of the tenants whose requests arrive at this node] of each node.
        operation: Name of the requested operation.
        demand_interval: Mean time between two requests of a tenant, in ticks.
        longest_run: Longest running time of a request, in ticks.
        loss_probability: Probability that a datagram is lost.
        mean_delay: Mean delay of a datagram, in seconds.
    """

    configuration_file: str
    folder: str
    seed: int
    endpoint_rows: list
    broken_build: str | None
    nodes: list
    operation: str
    demand_interval: int
    longest_run: int
    loss_probability: float
    mean_delay: float

    def to_environment(self):
        """Returns the environment that passes these settings on."""
        return {SETTINGS_VARIABLE: orjson.dumps(self).decode()}

    @classmethod
    def take_from_environment(cls):
        """Returns the settings of this process, and removes them from its environment."""
        return cls(**orjson.loads(os.environ.pop(SETTINGS_VARIABLE)))


class Instruments:
    """The instruments that the nodes of one process share.

    Attributes:
        learned_values: The `LearnedValues`.
        admissions: Counts the admissions of the nodes' limiters, see `DemandGenerator`.
    """

    def __init__(self, settings):
        """Creates the instruments; `settings` is the `ProcessSettings`."""
        self.learned_values = LearnedValues()
        self.admissions = Counter()
        self._settings = settings

    def probe(self, node_id):
        """Returns the `NodeProbe` of a node."""
        probe = NodeProbe(node_id, self.learned_values, self._settings.seed)
        probe.loss_probability = self._settings.loss_probability
        probe.mean_delay = self._settings.mean_delay
        return probe

    def demand(self, loop, probe, batch_loop, tenants):
        """Returns the `DemandGenerator` of a node."""
        settings = DemandSettings(
            self._settings.seed,
            self._settings.operation,
            self._settings.demand_interval,
            self._settings.longest_run,
        )
        return DemandGenerator(loop, probe, batch_loop, tenants, settings, self.admissions)
