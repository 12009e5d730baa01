"""What a scale run tells each of its processes when it starts it."""

import os
from collections import Counter
from dataclasses import dataclass

import orjson

from grebedyke.testbed.demand_generator import DemandGenerator, DemandSettings
from grebedyke.testbed.instrumentation import LearnedValues, NodeProbe

# The environment variable with a `ProcessSettings` as JSON. Only a scale run sets it.
SETTINGS_VARIABLE = "GREBEDYKE_SCALE"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """What the nodes of one process are.

    Attributes:
        configuration_file: The configuration of the first of them.
        folder: The process's folder.
        seed: Of the run.
        endpoint_rows: The endpoint list.
        broken_build: Name of a build broken on purpose, None for the program as it is.
        nodes: [number, names of the tenants whose requests come in there] of each node.
        operation: Name of the operation that is requested.
        demand_interval: How often each tenant requests it, in ticks, on average.
        longest_run: How long a request runs at most, in ticks.
        loss_probability: Of each datagram.
        mean_delay: Of each datagram, in seconds.
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
    """What the nodes of one process share for their measurement.

    Attributes:
        learned_values: The `LearnedValues`.
        admissions: Counts what the nodes' limiters admit, see `DemandGenerator`.
    """

    def __init__(self, settings):
        """Begins with nothing measured; `settings` is the `ProcessSettings`."""
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
