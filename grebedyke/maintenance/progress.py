"""How a rollout goes on by what a voter has seen: functions from one rollout to the next. No I/O.

They run within a proposal, on the value that a majority has accepted last. Evidence names the status that it
is about, so that it may be older than that value and be applied twice without harm.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from grebedyke.maintenance.endpoints import Endpoint
from grebedyke.maintenance.plan import SHARE_TOLERANCE, LatePolicy, is_node, node_name, node_of
from grebedyke.maintenance.rollout import (
    COUNTED_AS_OUT,
    ENDED_STATES,
    PAST_PLANS_KEPT,
    MachineState,
    PastPlan,
    PlanOutcome,
    RolloutPhase,
    StatusKey,
)


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
    """What one voter has seen, for `advance`.

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


class Transition(NamedTuple):
    """A change of a machine's state by evidence.

    Attributes:
        source: The state before.
        evidence: The attribute of `Evidence` that has to name the machine's status.
        target: The state after.
    """

    source: MachineState
    evidence: str
    target: MachineState


# Where several apply to a state, the first one counts.
TRANSITIONS = (
    Transition(MachineState.LEAVING, "clear", MachineState.FREE),
    Transition(MachineState.FREE, "restarted", MachineState.BACK),
    Transition(MachineState.FREE, "overdue", MachineState.FAILED),
    Transition(MachineState.BACK, "warmed_up", MachineState.DONE),
    Transition(MachineState.BACK, "overdue", MachineState.FAILED),
    Transition(MachineState.FAILED, "restarted", MachineState.BACK),
)


def advance(rollout, evidence):
    """Returns the rollout after all that the evidence allows; the same object where that is nothing."""
    if rollout.plan is None:
        return rollout
    if rollout.phase == RolloutPhase.ANNOUNCED and evidence.plan_is_known:
        rollout = rollout.changed(phase=RolloutPhase.OPEN)
    rollout = _advance_machines(rollout, evidence)
    if rollout.phase == RolloutPhase.OPEN:
        rollout = _take_machines_out(rollout, evidence)
    if all(status.state in ENDED_STATES for status in rollout.machines.values()):
        rollout = _end_plan(rollout)
    return rollout


def _advance_machines(rollout, evidence):
    """Moves each machine on by at most one state."""
    for name, status in rollout.machines.items():
        state = _next_state(status.state, StatusKey(name, status.number), evidence)
        if state is None:
            continue
        rollout = rollout.with_machine(name, state)
        halts = state == MachineState.FAILED and rollout.plan.late_policy == LatePolicy.HALT
        if halts and rollout.phase == RolloutPhase.OPEN:
            rollout = rollout.changed(phase=RolloutPhase.HALTED)
    return rollout


def _next_state(state, status_key, evidence):
    """Returns the state that the evidence leads to, None where the machine stays as it is."""
    for transition in TRANSITIONS:
        if transition.source == state and status_key in getattr(evidence, transition.evidence):
            return transition.target
    return None


def _take_machines_out(rollout, evidence):
    """Takes machines out as long as there is one that may go."""
    while (name := next_machine_out(rollout, evidence)) is not None:
        incarnation = evidence.incarnations.get(name, 0)
        rollout = rollout.with_machine(name, MachineState.LEAVING, incarnation)
    return rollout


def _end_plan(rollout):
    """Moves the plan to the past ones."""
    aborted = rollout.phase == RolloutPhase.ABORTING
    outcome = PlanOutcome.ABORTED if aborted else PlanOutcome.ENDED
    past = PastPlan(rollout.plan.id, outcome, rollout.plan.content_digest)
    past_plans = (past, *rollout.past_plans)[:PAST_PLANS_KEPT]
    return rollout.changed(plan=None, phase=None, machines={}, past_plans=past_plans)


def next_machine_out(rollout, evidence):
    """Returns the first machine in the plan's order whose turn has come and that may go, None if none may.

    A machine that may not go yet holds up those behind it: the order that the operators stated is kept.
    """
    for name in rollout.plan.order:
        if rollout.machines[name].state != MachineState.WAITING:
            continue
        if _predecessors_are_done(rollout, name):
            return name if _Limits(rollout, evidence).allow(name) else None
        if not _is_passed_over(rollout, name):
            return None
    return None


def _predecessors_are_done(rollout, name):
    """Returns whether nothing has to come before the machine any more."""
    return all(
        rollout.machines[other].state in (MachineState.DONE, MachineState.SKIPPED)
        for other in rollout.plan.predecessors.get(name, ())
    )


def _is_passed_over(rollout, name):
    """Returns whether a predecessor has failed and the plan goes on without the machine."""
    return rollout.plan.late_policy == LatePolicy.CONTINUE and any(
        rollout.machines[other].state == MachineState.FAILED for other in rollout.plan.predecessors[name]
    )


class _Limits:
    """The plan's limits on what is out, as they stand at one moment."""

    def __init__(self, rollout, evidence):
        self._plan = rollout.plan
        self._evidence = evidence
        self._out = rollout.machines_in(COUNTED_AS_OUT)

    def allow(self, name):
        """Returns whether the machine may be taken out."""
        if not self._total_allows(name):
            return False
        if is_node(name):
            return self._quorum_allows(node_of(name))
        return (
            self._zone_allows(name)
            and self._kind_allows(name)
            and self._weight_allows(name)
            and self._idempotency_groups_allow(name)
        )

    def _own_loss(self, name):
        """Returns 1 for an executor that is lost already: taking it out takes no more away."""
        if is_node(name):
            return 0
        return int(all(endpoint.name != name for endpoint in self._evidence.endpoints))

    def _total_allows(self, name):
        """Returns whether fewer machines are out or lost than may be."""
        lost = max(self._evidence.losses.total - self._own_loss(name), 0)
        return len(self._out) + lost < self._plan.max_out

    def _zone_allows(self, name):
        """Returns whether fewer executors of its zone are out or lost than may be."""
        losses = self._evidence.losses.by_zone
        return self._group_allows(name, "zone", self._plan.max_out_per_zone, losses)

    def _kind_allows(self, name):
        """Returns whether fewer executors of its kind are out or lost than may be."""
        losses = self._evidence.losses.by_kind
        return self._group_allows(name, "kind", self._plan.max_out_per_kind, losses)

    def _group_allows(self, name, attribute, max_out, losses):
        """Returns whether fewer than `max_out` executors of the machine's zone or kind are out or lost."""
        if max_out is None:
            return True
        machines = self._plan.machines
        group = getattr(machines[name], attribute)
        lost = losses.get(group, 0) - self._own_loss(name)
        executors_out = [other for other in self._out if not is_node(other)]
        return lost + sum(getattr(machines[other], attribute) == group for other in executors_out) < max_out

    def _quorum_allows(self, node):
        """Returns whether the node may go: voters go one at a time, and a majority of them stays."""
        if node not in self._evidence.voters:
            return True
        if any(node_name(voter) in self._out for voter in self._evidence.voters):
            return False
        staying = [voter for voter in self._evidence.reachable_voters if voter != node]
        return len(staying) > len(self._evidence.voters) // 2

    def _weight_allows(self, name):
        """Returns whether the stated share of all weight stays in use."""
        out = {*self._out}
        weights = (endpoint.weight for endpoint in self._evidence.endpoints if endpoint.name not in out)
        remaining = sum(weights) - self._plan.machines[name].weight
        return remaining >= self._plan.min_weight_share * self._plan.total_weight - SHARE_TOLERANCE

    def _idempotency_groups_allow(self, name):
        """Returns whether an executor stays that knows the keys of past requests in each of its groups.

        Without one, a request that was sent before and is idempotent by key could be retried nowhere.
        """
        machine = self._plan.machines[name]
        gone = {*self._out, name, *self._evidence.recent_endpoints}
        for attribute in ("zone", "cell"):
            if attribute not in self._evidence.idempotency_groups:
                continue
            group = getattr(machine, attribute)
            members = (e for e in self._evidence.endpoints if getattr(e, attribute) == group)
            if all(member.name in gone for member in members):
                return False
        return True
