"""The layout of a scale run's fleet: voters, real nodes, zones, processes and configurations."""

import os
import random
from collections import Counter

from grebedyke.load.arrivals import Operation
from grebedyke.load.deployment import deployment_settings
from grebedyke.testbed.process_cluster_settings import DRAIN_GRACE, IDEMPOTENCY_WINDOW, WARM_UP_TIME
from grebedyke.testbed.scale_settings import CLOCK_DRIFT, TEAM_COUNT, ZONES, team_name

OPERATION = Operation("task", "safe")
# Fleets of at least this size have five voters, smaller ones three.
MIN_NODES_FOR_FIVE_VOTERS = 7
# Two limits in each group of this many are short.
SHORT_LIMIT_CYCLE = 8
# The ratio of a limit to its demand, for ample and for short limits.
AMPLE_FACTOR = 4
SHORT_FACTOR = 0.5


class FleetLayout:
    """The nodes of a run.

    Attributes:
        settings: The `ScaleSettings`.
        voters: Numbers of the voters.
        real_nodes: Numbers of the real nodes.
        zones: The zone of each node.
        host: The loopback address of all nodes.
    """

    def __init__(self, settings):
        self.settings = settings
        self.voters = list(range(5 if settings.nodes >= MIN_NODES_FOR_FIVE_VOTERS else 3))
        self.real_nodes = self._draw_real_nodes(min(settings.real, settings.nodes))
        self.zones = [ZONES[node % len(ZONES)] for node in range(settings.nodes)]
        # Derived from the process, so that two runs on one machine use different addresses.
        self.host = settings.host or f"127.{64 + os.getpid() % 128}.{settings.seed % 250}.7"

    def _draw_real_nodes(self, count):
        """Returns `count` nodes: two voters first, then random non-voters, then the other voters."""
        if not count:
            return set()
        rng = random.Random(f"scale {self.settings.seed}")
        voters = self.voters[:2] if self.settings.lead == "real" else self.voters[2:4]
        others = [node for node in range(self.settings.nodes) if node not in self.voters]
        drawn = rng.sample(others, len(others)) + [node for node in self.voters if node not in voters]
        return {*[*voters, *drawn][:count]}

    def hollow_groups(self):
        """Returns the hollow nodes of each process.

        Each voter has its own process, as its load is many times that of another node.
        """
        hollow = [node for node in range(self.settings.nodes) if node not in self.real_nodes]
        voters = [[node] for node in hollow if node in self.voters]
        others = [node for node in hollow if node not in self.voters]
        group_count = -(-len(others) // self.settings.hollow_per_process)
        # Round robin, so that each process has nodes of all zones.
        return voters + [others[first::group_count] for first in range(group_count)]

    def port(self, node):
        """Returns the port of a node for datagrams and clients."""
        return self.settings.first_port + node

    def admin_port(self, node):
        """Returns the port of a node's admin API."""
        return self.settings.first_port + self.settings.nodes + node

    def wanted_tenants(self, node):
        """Returns the tenants whose requests a node receives."""
        if self.settings.scene == "peak":
            return [team_name(index) for index in range(TEAM_COUNT)]
        rng = random.Random(f"teams {self.settings.seed} {node}")
        return [team_name(index) for index in rng.sample(range(TEAM_COUNT), 2)]

    def limits_section(self):
        """Returns the limits section of the nodes' configuration.

        Every second team has a limit on its rate, the others on their requests in flight. In the peak scene
        no limit is short, as nodes request shares of a short limit more often. In other scenes two of eight
        limits admit half of the demand.
        """
        settings = self.settings
        wanted = Counter(name for node in range(settings.nodes) for name in self.wanted_tenants(node))
        limits = []
        for index in range(TEAM_COUNT):
            rate = max(wanted[team_name(index)], 1) / settings.demand_interval
            is_short = settings.scene != "peak" and index % SHORT_LIMIT_CYCLE < 2
            factor = SHORT_FACTOR if is_short else AMPLE_FACTOR
            row = {"name": team_name(index), "tenant": team_name(index)}
            if index % 2 == 0:
                row |= {"rate": max(rate * factor, 1.0), "burst": settings.nodes}
            else:
                row |= {"underWay": max(int(rate * settings.longest_run / 2 * factor), 1)}
            limits.append(row)
        return {
            "leaseMs": settings.lease * 1000,
            "drift": CLOCK_DRIFT,
            "runMs": settings.longest_run * 1000,
            "limits": limits,
        }

    def node_configuration(self, node, folder, discovery):
        """Returns the content of a node's configuration file.

        Args:
            node: The node's number.
            folder: The folder of its process.
            discovery: The run's `DiscoveryEmulator`.
        """
        settings = self.settings
        deployment = deployment_settings([OPERATION], settings.nodes, node, self.zones[node], ZONES)
        deployment["parties"] = [{"name": team_name(index), "quotaRps": 1000} for index in range(TEAM_COUNT)]
        deployment["rules"] |= {"drainGraceMs": DRAIN_GRACE * 1000, "rampTimeMs": WARM_UP_TIME * 1000}
        deployment["operations"][0]["windowMs"] = IDEMPOTENCY_WINDOW * 1000
        return {
            "name": f"n{node}",
            "listen": f"{self.host}:{self.port(node)}",
            "console": f"{self.host}:{self.admin_port(node)}",
            "discovery": "%s:%d" % discovery.address,
            "seed": f"{settings.seed}-n{node}",
            "known": discovery.listing(),
            "settings": deployment,
            "peers": [f"{self.host}:{self.port(peer)}" for peer in range(settings.nodes)],
            "fleet": {
                "name": f"scale {settings.seed}",
                "folder": str(folder / f"n{node}"),
                "voters": self.voters,
                "waitMs": settings.wait * 1000,
            },
            "maintenance": {"leaseMs": settings.lease * 1000, "drift": CLOCK_DRIFT},
            "shares": self.limits_section(),
        }
