"""Evidence collected by one voter about the machines of a plan, used to advance the rollout. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from grebedyke.maintenance.endpoints import Endpoint
from grebedyke.maintenance.rollout import StatusKey


@dataclass(frozen=True, slots=True)
class UnplannedLosses:
    """Numbers of executors that were in use when the plan was made and have left without being taken out.

    Attributes:
        by_zone: Their number by zone.
        by_kind: Their number by kind.
        total: Their total number.
    """

    by_zone: Mapping[str, int] = field(default_factory=dict)
    by_kind: Mapping[str, int] = field(default_factory=dict)
    total: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """The observations of one voter.

    Evidence identifies the status that it refers to, so it can be applied more than once.

    Attributes:
        plan_is_known: Whether all nodes that the plan does not list as absent have the plan on disk.
        drained: Machines to which no node sends requests any more and at which all attempts have ended, or
            were waited for until the end of the drain grace.
        restarted: Machines whose process has restarted since they were taken out.
        warmed_up: Machines that have been healthy again for the warm-up time.
        overdue: Machines on which the work takes longer than planned.
        losses: The unplanned losses of executors.
        endpoints: The healthy endpoints, sorted by name.
        recent_endpoints: Names of endpoints that were first listed less than an idempotency window ago.
        idempotency_groups: The attributes ("zone", "cell") that define groups of executors with shared keys.
        reachable_voters: Voters from which a message was received within the last lease.
        voters: All voters.
        incarnations: The current start of each machine's process, by name.
    """

    plan_is_known: bool = False
    drained: frozenset[StatusKey] = frozenset()
    restarted: frozenset[StatusKey] = frozenset()
    warmed_up: frozenset[StatusKey] = frozenset()
    overdue: frozenset[StatusKey] = frozenset()
    losses: UnplannedLosses = field(default_factory=UnplannedLosses)
    endpoints: tuple[Endpoint, ...] = ()
    recent_endpoints: frozenset[str] = frozenset()
    idempotency_groups: tuple[str, ...] = ()
    reachable_voters: tuple[int, ...] = ()
    voters: tuple[int, ...] = ()
    incarnations: Mapping[str, int] = field(default_factory=dict)
