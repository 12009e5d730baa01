"""What one voter has seen of the machines of a plan, by which a rollout is advanced. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from grebedyke.maintenance.endpoints import Endpoint
from grebedyke.maintenance.rollout import StatusKey


@dataclass(frozen=True, slots=True)
class UnplannedLosses:
    """Executors that have gone without a plan: those in use when the plan was made, less those there are now.

    Attributes:
        by_zone: How many, by zone.
        by_kind: How many, by kind.
        total: How many in all.
    """

    by_zone: Mapping[str, int] = field(default_factory=dict)
    by_kind: Mapping[str, int] = field(default_factory=dict)
    total: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """What one voter has seen. It names the status that it is about, and may be applied twice without harm.

    Attributes:
        plan_is_known: Every node that is not absent has the plan on its disk.
        clear: Machines that no node sends to any more.
        restarted: Machines whose process has started anew since they were taken out.
        warmed_up: Machines that have been back for the warm-up time.
        overdue: Machines whose work takes longer than planned.
        losses: Executors that have gone without a plan.
        endpoints: The healthy endpoints, sorted by name.
        recent_endpoints: Names of those that have not been there for an idempotency window yet.
        idempotency_groups: By which attribute ("zone", "cell") executors share the keys of past requests.
        reachable_voters: Voters that were heard from within a lease.
        voters: All voters.
        incarnations: The present start of each machine's process, by name.
    """

    plan_is_known: bool = False
    clear: frozenset[StatusKey] = frozenset()
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
