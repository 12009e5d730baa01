"""Builds the dispatcher of a node out of its checked settings."""

from grebedyke import model
from grebedyke.policy.cutoff_search import CutoffSearch
from grebedyke.policy.dispatcher import Dispatcher
from grebedyke.policy.endpoint_table import EndpointTable
from grebedyke.policy.retry_budget import RetryBudget
from grebedyke.policy.tenant_quotas import TenantQuotas
from grebedyke.units import ticks

EFFECTS = {"safe": model.IDEMPOTENT, "keyed": model.DEDUPLICATED, "unsafe": model.NON_IDEMPOTENT}


def operation(row, i, family, kinds):
    stretch = family["classStretch"][i] if i < len(family["classStretch"]) else row["aimStretch"]
    kind = int(family["classKind"][i]) if i < len(family["classKind"]) else -1
    return model.Operation(
        row["name"],
        EFFECTS[row["idempotency"]],
        row["group"],
        ticks(row["windowMs"] or 0),
        ticks(row["latencyObjectiveMs"]),
        float(stretch),
        row["billedValue"],
        row["overdueBilledValue"],
        kinds[kind] if 0 <= kind < len(kinds) else None,
        ticks(row["clientTimeoutMs"]),
    )


def open_dispatcher(seed, conf):
    """Builds the parts of one instance, each from its own few settings, out of checked terms."""
    rules, limits, family, prices = conf["rules"], conf["limits"], conf["familyInfo"], conf["prices"]
    operations = {
        row["name"]: operation(row, i, family, conf["machineTypes"])
        for i, row in enumerate(conf["operations"])
    }
    nodes, me = int(conf["balancers"]), int(conf["me"])
    chance = model.SeededRandom(seed)
    fleet = EndpointTable(
        conf["zone"],
        me,
        nodes,
        rules["coldFrom"],
        ticks(rules["rampTimeMs"]),
        rules["fallMultiple"],
        max(min(op.objective for op in operations.values()) // 10, 10),
        ticks(family["progressMs"]),
        prices["crossZone"],
        1 + nodes // 64 if limits["peerMessages"] else 0,
    )
    quotas = {row["name"]: row["quotaRps"] for row in conf["parties"]}
    budget = RetryBudget(rules["extraFloor"] or 0, rules["resendRatio"] or 0, ticks(rules["lookBackMs"] or 0))
    return Dispatcher(
        chance,
        model.Parts(CutoffSearch(chance, nodes), fleet, TenantQuotas(quotas, nodes), budget),
        operations,
        ticks(conf["tickMs"]),
        conf["billedValueBy"] == "work",
        model.Means(
            limits["mayCancel"], family["tellsStart"], limits["probes"], conf["registryMode"] == "ask"
        ),
        model.Bounds(
            int(limits["maxForwards"]),
            ticks(limits["maxRetryAfterMs"]) if limits["retryAfter"] else 0,
            int(limits["maxOpen"]),
        ),
    )
