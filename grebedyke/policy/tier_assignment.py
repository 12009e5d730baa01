"""Rule: each kind of endpoint is split between the tiers in the same proportion, by hashed identifier.

In the paper that `cutoff_search` follows, a tier is a single host; here it consists of many endpoints, with
its share of the fast and the slow ones. The input is the share of each kind in the top tier; with 0 all
endpoints are in the first tier.
"""

from grebedyke.policy.wait_model import Tier


def assign_tiers(endpoints, top_tier_share, node_count):
    """Assigns each endpoint to a tier and returns the Tiers with their capacity for all nodes together.

    Args:
        endpoints: The healthy endpoints in order of rank; their `tier` is set.
        top_tier_share: Share of each kind in the top tier, 0 to 0.5.
        node_count: Number of nodes; each has its own credit at an endpoint.
    """
    seen = {}
    counts = [0, 0]
    capacities = [0.0, 0.0]
    for endpoint in endpoints:
        seen[endpoint.kind] = seen.get(endpoint.kind, 0) + 1
        in_top_tier = top_tier_share > 0 and seen[endpoint.kind] % round(1 / top_tier_share) == 0
        endpoint.tier = int(in_top_tier)
        counts[endpoint.tier] += 1
        capacities[endpoint.tier] += max(endpoint.credit, 1.0) * node_count * endpoint.speed
    tiers = [Tier(count, capacity) for count, capacity in zip(counts, capacities, strict=True)]
    return tiers if top_tier_share else tiers[:1]
