"""Builds the dispatcher of a node out of its checked settings."""

from grebedyke.model.operation import Operation
from grebedyke.model.outcome import Effect
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.model.settings import Capabilities, DispatcherSettings, PolicyParts, RequestLimits
from grebedyke.policy.cutoff_search import CutoffSearch
from grebedyke.policy.dispatcher import Dispatcher
from grebedyke.policy.endpoint_table import EndpointTable, EndpointTableSettings
from grebedyke.policy.retry_budget import RetryBudget
from grebedyke.policy.slow_start import SlowStartSettings
from grebedyke.policy.tenant_quotas import TenantQuotas
from grebedyke.units import ticks

EFFECTS = {"safe": Effect.IDEMPOTENT, "keyed": Effect.KEYED, "unsafe": Effect.NON_IDEMPOTENT}


def operation(row, i, family, kinds):
    stretch = family["classStretch"][i] if i < len(family["classStretch"]) else row["aimStretch"]
    kind = int(family["classKind"][i]) if i < len(family["classKind"]) else -1
    return Operation(
        name=row["name"],
        effect=EFFECTS[row["idempotency"]],
        idempotency_group=row["group"],
        idempotency_window=ticks(row["windowMs"] or 0),
        latency_objective=ticks(row["latencyObjectiveMs"]),
        objective_stretch=float(stretch),
        priority_weight=row["billedValue"],
        late_priority_weight=row["overdueBilledValue"],
        endpoint_kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        client_timeout=ticks(row["clientTimeoutMs"]),
    )


def open_dispatcher(seed, conf):
    """Builds the parts of one instance, each from its own few settings, out of checked terms."""
    rules, limits, family, prices = conf["rules"], conf["limits"], conf["familyInfo"], conf["prices"]
    operations = {
        row["name"]: operation(row, i, family, conf["machineTypes"])
        for i, row in enumerate(conf["operations"])
    }
    nodes, me = int(conf["balancers"]), int(conf["me"])
    chance = SeededRandom(seed)
    endpoint_table = EndpointTable(
        EndpointTableSettings(
            zone=conf["zone"],
            node_number=me,
            node_count=nodes,
            slow_start=SlowStartSettings(
                initial_warmth=rules["coldFrom"],
                ramp_time=ticks(rules["rampTimeMs"]),
                fall_multiple=rules["fallMultiple"],
            ),
            prompt_wait=max(min(op.latency_objective for op in operations.values()) // 10, 10),
            progress_interval=ticks(family["progressMs"]),
            crossing_price=prices["crossZone"],
            groups_per_zone=1 + nodes // 64 if limits["peerMessages"] else 0,
        )
    )
    quotas = {row["name"]: row["quotaRps"] for row in conf["parties"]}
    budget = RetryBudget(rules["extraFloor"] or 0, rules["resendRatio"] or 0, ticks(rules["lookBackMs"] or 0))
    parts = PolicyParts(CutoffSearch(chance, nodes), endpoint_table, TenantQuotas(quotas, nodes), budget)
    settings = DispatcherSettings(
        operations=operations,
        peer_operations=[*operations.values()],
        scheduling_interval=ticks(conf["tickMs"]),
        weighs_by_work=conf["billedValueBy"] == "work",
        capabilities=Capabilities(
            cancels=limits["mayCancel"],
            start_notices=family["tellsStart"],
            probes=limits["probes"],
            polls_list=conf["registryMode"] == "ask",
        ),
        limits=RequestLimits(
            max_attempts=int(limits["maxForwards"]),
            max_retry_after=ticks(limits["maxRetryAfterMs"]) if limits["retryAfter"] else 0,
            max_open=int(limits["maxOpen"]),
        ),
    )
    return Dispatcher(chance, parts, settings)
