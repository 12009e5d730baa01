"""Chooses the next machine to take out, according to the plan's order and limits. No I/O."""

from grebedyke.maintenance.plan import SHARE_TOLERANCE, LatePolicy, is_node, node_name, node_of
from grebedyke.maintenance.rollout import COUNTED_AS_OUT, MachineState


def next_machine_out(rollout, evidence):
    """Returns the next machine that may be taken out, or None.

    This is the first waiting machine in the plan's order whose predecessors are done, provided that the
    limits allow it. A machine that has to wait also blocks those after it, which keeps the operators' order.
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
    """Returns whether all predecessors of the machine are done or skipped."""
    return all(
        rollout.machines[other].state in (MachineState.DONE, MachineState.SKIPPED)
        for other in rollout.plan.predecessors.get(name, ())
    )


def _is_passed_over(rollout, name):
    """Returns whether a predecessor has failed and the plan continues without the machine."""
    return rollout.plan.late_policy == LatePolicy.CONTINUE and any(
        rollout.machines[other].state == MachineState.FAILED for other in rollout.plan.predecessors[name]
    )


class _Limits:
    """Checks a machine against the plan's limits, for one rollout and one set of evidence."""

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

    def _already_lost(self, name):
        """Returns 1 for an executor that is already counted as lost, which must not be counted twice."""
        if is_node(name):
            return 0
        return int(all(endpoint.name != name for endpoint in self._evidence.endpoints))

    def _total_allows(self, name):
        """Returns whether the number of machines that are out or lost is below the plan's limit."""
        lost = max(self._evidence.losses.total - self._already_lost(name), 0)
        return len(self._out) + lost < self._plan.max_out

    def _zone_allows(self, name):
        """Returns whether the number of executors out or lost in the machine's zone is below the limit."""
        losses = self._evidence.losses.by_zone
        return self._group_allows(name, "zone", self._plan.max_out_per_zone, losses)

    def _kind_allows(self, name):
        """Returns whether the number of executors out or lost of the machine's kind is below the limit."""
        losses = self._evidence.losses.by_kind
        return self._group_allows(name, "kind", self._plan.max_out_per_kind, losses)

    def _group_allows(self, name, attribute, max_out, losses):
        """Returns whether fewer than `max_out` executors of the machine's zone or kind are out or lost."""
        if max_out is None:
            return True
        machines = self._plan.machines
        group = getattr(machines[name], attribute)
        lost = losses.get(group, 0) - self._already_lost(name)
        executors_out = [other for other in self._out if not is_node(other)]
        return lost + sum(getattr(machines[other], attribute) == group for other in executors_out) < max_out

    def _quorum_allows(self, node):
        """Returns whether the node may be taken out without risking the quorum.

        At most one voter is out at a time, and a majority of the voters stays reachable.
        """
        if node not in self._evidence.voters:
            return True
        if any(node_name(voter) in self._out for voter in self._evidence.voters):
            return False
        staying = [voter for voter in self._evidence.reachable_voters if voter != node]
        return len(staying) > len(self._evidence.voters) // 2

    def _weight_allows(self, name):
        """Returns whether the plan's minimum share of the total weight stays in use."""
        out = {*self._out}
        weights = (endpoint.weight for endpoint in self._evidence.endpoints if endpoint.name not in out)
        remaining = sum(weights) - self._plan.machines[name].weight
        return remaining >= self._plan.min_weight_share * self._plan.total_weight - SHARE_TOLERANCE

    def _idempotency_groups_allow(self, name):
        """Returns whether each idempotency group of the machine keeps an executor that has seen past keys.

        Without such an executor, a request that was sent before and is idempotent by key cannot be retried.
        """
        machine = self._plan.machines[name]
        gone = {*self._out, name, *self._evidence.recent_endpoints}
        for attribute in ("zone", "cell"):
            if attribute not in self._evidence.idempotency_groups:
                continue
            group = getattr(machine, attribute)
            members = (
                endpoint for endpoint in self._evidence.endpoints if getattr(endpoint, attribute) == group
            )
            if all(member.name in gone for member in members):
                return False
        return True
