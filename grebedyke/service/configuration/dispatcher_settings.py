"""Builds a dispatcher from checked settings; each of its parts gets only the settings it needs."""

from grebedyke.model.operation import Operation
from grebedyke.model.outcome import Idempotency
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.model.settings import Capabilities, DispatcherSettings, PolicyParts, RequestLimits
from grebedyke.policy.cutoff_search import CutoffSearch
from grebedyke.policy.dispatcher import Dispatcher
from grebedyke.policy.endpoint_table import EndpointTable, EndpointTableSettings
from grebedyke.policy.retry_budget import RetryBudget
from grebedyke.policy.slow_start import SlowStartSettings
from grebedyke.policy.tenant_quotas import TenantQuotas
from grebedyke.units import ticks

IDEMPOTENCY_BY_WORD = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}

# A job counts as started promptly if it waits no longer than the shortest latency objective divided by this.
PROMPT_WAIT_DIVISOR = 10
MIN_PROMPT_WAIT = 10  # ticks
# Nodes per additional group: a zone's endpoints form one group, plus one for each 64 nodes.
NODES_PER_GROUP = 64
ANY_KIND = -1


def open_dispatcher(seed, settings):
    """Returns a `Dispatcher` for checked settings; the same seed gives the same random choices."""
    node_count = int(settings["balancers"])
    random = SeededRandom(seed)
    operations = _operations(settings)
    rules = settings["rules"]
    parts = PolicyParts(
        cutoff_search=CutoffSearch(random, node_count),
        endpoint_table=EndpointTable(_endpoint_table_settings(settings, operations)),
        tenant_quotas=TenantQuotas(
            {tenant["name"]: tenant["quotaRps"] for tenant in settings["parties"]}, node_count
        ),
        retry_budget=RetryBudget(
            rules["extraFloor"] or 0, rules["resendRatio"] or 0, ticks(rules["lookBackMs"] or 0)
        ),
    )
    return Dispatcher(random, parts, _dispatcher_settings(settings, operations))


def _operations(settings):
    family = settings["familyInfo"]
    stretches = family["classStretch"]
    kinds = family["classKind"]
    return {
        row["name"]: _operation(
            row,
            stretches[i] if i < len(stretches) else row["aimStretch"],
            _kind_name(kinds[i] if i < len(kinds) else ANY_KIND, settings["machineTypes"]),
        )
        for i, row in enumerate(settings["operations"])
    }


def _operation(row, stretch, endpoint_kind):
    return Operation(
        name=row["name"],
        idempotency=IDEMPOTENCY_BY_WORD[row["idempotency"]],
        idempotency_group=row["group"],
        idempotency_window=ticks(row["windowMs"] or 0),
        latency_objective=ticks(row["latencyObjectiveMs"]),
        objective_stretch=float(stretch),
        priority_weight=row["billedValue"],
        late_priority_weight=row["overdueBilledValue"],
        endpoint_kind=endpoint_kind,
        client_timeout=ticks(row["clientTimeoutMs"]),
    )


def _kind_name(number, names):
    index = int(number)
    return names[index] if 0 <= index < len(names) else None


def _endpoint_table_settings(settings, operations):
    rules = settings["rules"]
    node_count = int(settings["balancers"])
    shortest = min(operation.latency_objective for operation in operations.values())
    return EndpointTableSettings(
        zone=settings["zone"],
        node_number=int(settings["me"]),
        node_count=node_count,
        slow_start=SlowStartSettings(
            initial_warmth=rules["coldFrom"],
            ramp_time=ticks(rules["rampTimeMs"]),
            fall_multiple=rules["fallMultiple"],
        ),
        prompt_wait=max(shortest // PROMPT_WAIT_DIVISOR, MIN_PROMPT_WAIT),
        progress_interval=ticks(settings["familyInfo"]["progressMs"]),
        crossing_price=settings["prices"]["crossZone"],
        groups_per_zone=1 + node_count // NODES_PER_GROUP if settings["limits"]["peerMessages"] else 0,
    )


def _dispatcher_settings(settings, operations):
    limits = settings["limits"]
    return DispatcherSettings(
        operations=operations,
        peer_operations=[*operations.values()],
        scheduling_interval=ticks(settings["tickMs"]),
        weighs_by_work=settings["billedValueBy"] == "work",
        capabilities=Capabilities(
            cancels=limits["mayCancel"],
            start_notices=settings["familyInfo"]["tellsStart"],
            probes=limits["probes"],
            polls_list=settings["registryMode"] == "ask",
        ),
        limits=RequestLimits(
            max_attempts=int(limits["maxForwards"]),
            max_retry_after=ticks(limits["maxRetryAfterMs"]) if limits["retryAfter"] else 0,
            max_open=int(limits["maxOpen"]),
        ),
    )
