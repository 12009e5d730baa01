"""Which nodes of a scale run are what: voters, real ones, zones, processes, and their configurations."""

import os
import random
from collections import Counter

from grebedyke.load.arrivals import Operation
from grebedyke.load.deployment import deployment_settings
from grebedyke.testbed.process_cluster_settings import DRAIN_GRACE, IDEMPOTENCY_WINDOW, WARM_UP_TIME
from grebedyke.testbed.scale_settings import CLOCK_DRIFT, TEAM_COUNT, ZONES, team

OPERATION = Operation("task", "safe")
# From this size on a fleet has five voters.
LARGE_FLEET = 7
# Two of each so many limits let half of what is wanted through.
SHORT_LIMIT_CYCLE = 8
# How much more a limit lets through than is wanted, where it is not short.
AMPLE = 4
SHORT = 0.5


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
        self.voters = list(range(5 if settings.nodes >= LARGE_FLEET else 3))
        self.real_nodes = self._draw_real_nodes(min(settings.real, settings.nodes))
        self.zones = [ZONES[node % len(ZONES)] for node in range(settings.nodes)]
        # By process, so that two runs on one machine do not meet.
        self.host = settings.host or f"127.{64 + os.getpid() % 128}.{settings.seed % 250}.7"

    def _draw_real_nodes(self, count):
        """Returns two of the voters, and others of no role."""
        if not count:
            return set()
        draw = random.Random(f"scale {self.settings.seed}")
        voters = self.voters[:2] if self.settings.lead == "real" else self.voters[2:4]
        others = [node for node in range(self.settings.nodes) if node not in self.voters]
        drawn = draw.sample(others, len(others)) + [node for node in self.voters if node not in voters]
        return {*[*voters, *drawn][:count]}

    def hollow_groups(self):
        """Returns the hollow nodes of each process.

        Voters have a process each, as their load is many times another node's.
        """
        hollow = [node for node in range(self.settings.nodes) if node not in self.real_nodes]
        voters = [[node] for node in hollow if node in self.voters]
        others = [node for node in hollow if node not in self.voters]
        group_count = -(-len(others) // self.settings.hollow_per_process)
        # In turn, so that each process has nodes of all zones.
        return voters + [others[first::group_count] for first in range(group_count)]

    def port(self, node):
        """Returns the port of a node's datagrams and clients; its operators' is `admin_port`."""
        return self.settings.first_port + node

    def admin_port(self, node):
        """Returns the port of a node's operators."""
        return self.settings.first_port + self.settings.nodes + node

    def wanted_tenants(self, node):
        """Returns the teams whose requests come in at a node."""
        if self.settings.scene == "peak":
            return [team(index) for index in range(TEAM_COUNT)]
        draw = random.Random(f"teams {self.settings.seed} {node}")
        return [team(index) for index in draw.sample(range(TEAM_COUNT), 2)]

    def limits_section(self):
        """Returns the section of the nodes' configuration on limits.

        Each second team has a limit on its rate, the others on what is in flight. At the peak none is short,
        as what is short is asked for more often; else two of eight let half of what is wanted through.
        """
        settings = self.settings
        wanted = Counter(name for node in range(settings.nodes) for name in self.wanted_tenants(node))
        limits = []
        for index in range(TEAM_COUNT):
            rate = max(wanted[team(index)], 1) / settings.demand_interval
            is_short = settings.scene != "peak" and index % SHORT_LIMIT_CYCLE < 2
            part = SHORT if is_short else AMPLE
            row = {"name": team(index), "tenant": team(index)}
            if index % 2 == 0:
                row |= {"rate": max(rate * part, 1.0), "burst": settings.nodes}
            else:
                row |= {"underWay": max(int(rate * settings.longest_run / 2 * part), 1)}
            limits.append(row)
        return {
            "leaseMs": settings.lease * 1000,
            "drift": CLOCK_DRIFT,
            "runMs": settings.longest_run * 1000,
            "limits": limits,
        }

    def node_configuration(self, node, folder, discovery):
        """Returns what the file of a node says.

        Args:
            node: The node's number.
            folder: Path of the folder of its process.
            discovery: The discovery of the run.
        """
        settings = self.settings
        deployment = deployment_settings([OPERATION], settings.nodes, node, self.zones[node], ZONES)
        deployment["parties"] = [{"name": team(index), "quotaRps": 1000} for index in range(TEAM_COUNT)]
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
