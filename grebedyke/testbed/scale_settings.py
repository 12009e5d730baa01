"""The settings of a scale run, and constants that its modules share."""

from dataclasses import dataclass

ZONES = ("a", "b", "c", "d", "e")
# Three zones and two, so that at most one side of a cut has a majority of the voters.
REGIONS = (frozenset("abc"), frozenset("de"))
TEAM_COUNT = 34
SCENES = {
    "calm": "each node requests limits of two teams",
    "peak": "each node requests limits of all teams, and plans are carried out",
    "zone": "the zone of the lease holder is killed and later restarted",
    "cut": "the links between two regions are cut for a while",
    "restart": "all nodes are killed at once and restarted",
}
# Number of leases after a fault's end within which all nodes must agree. The election of a new lease holder
# takes about five.
AGREEMENT_LEASES = 15
# Maximum drift between clocks that the nodes are configured for.
CLOCK_DRIFT = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class ScaleSettings:
    """Settings of a scale run.

    Attributes:
        nodes: Number of nodes.
        real: Number of these that are processes of the whole program; the others are hollow.
        seed: Seed of all random draws.
        seconds: How long the scene is measured.
        scene: A key of `SCENES`.
        lead: Whether the driver of plans and the lease holder are `hollow` or `real` nodes; None for any.
        hollow_per_process: Maximum number of hollow nodes, other than voters, in a process.
        lease: Lease time of the nodes' views and shares, in seconds.
        wait: How long a node waits for another node's answer, in seconds.
        executors: Number of executors, all of them idle.
        loss: Probability that a datagram is lost.
        delay: Mean delay of a datagram, in seconds.
        host: A loopback address; None to choose one.
        first_port: The first of the ports; each node uses two.
        build: Name of a broken build; None for the correct program.
        within: Seconds from a fault's end until all nodes agree; None for `AGREEMENT_LEASES`.
    """

    nodes: int = 40
    real: int = 3
    seed: int = 1
    seconds: float = 20.0
    scene: str = "calm"
    lead: str | None = None
    hollow_per_process: int = 16
    lease: float = 2.0
    wait: float = 0.2
    executors: int = 24
    loss: float = 0.0
    delay: float = 0.0
    host: str | None = None
    first_port: int = 21_000
    build: str | None = None
    within: float | None = None

    @property
    def agreement_timeout(self):
        """Seconds from a fault's end within which all nodes must agree."""
        return self.within or AGREEMENT_LEASES * self.lease

    @property
    def demand_interval(self):
        """Mean seconds between two requests of a tenant at a node."""
        return 0.5 if self.scene == "peak" else 1.0

    @property
    def longest_run(self):
        """Maximum running time of a request, in seconds."""
        return self.lease


def team_name(index):
    """Returns the name of a team, which is a tenant."""
    return f"team {index}"
