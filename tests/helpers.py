from grebedyke import brain
from grebedyke.ledger import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT, Operation

HEALTHY = "healthy"


def dispatcher(effect=IDEMPOTENT, group="zone", nodes=1, me=0, cancels=True, asks=False, back=0,
               window=100_000, cross=0.0, progress=10_000, seed=7,
               probes=False, charged=False):
    ops = {"op": Operation("op", effect, group, window, 2_500, 2.0, 1.0)}
    chance = brain.Chance(seed)
    fleet = brain.Fleet("a", me, nodes, 0.3, 80_000, 10_000, 250, progress, cross)
    return brain.Dispatcher(chance, brain.Cutoffs(chance, nodes), fleet, brain.Shares({}, nodes), ops, 50, cancels,
                            5, back, True, asks, cross, True, probes, charged)


def rows(*ids, zone="a", state=HEALTHY, born=0):
    return [(i, zone, "std", 0, state, born, 1) for i in ids]


def pull(d, now, *kinds):
    """All decisions of this instant, of the named kinds (all but wakes and notes when none is named)."""
    taken = []
    while (decision := d.decide(now)) is not None:
        taken.append(decision)
    return [x for x in taken if (x[0] in kinds if kinds else x[0] not in ("wake", "note"))]


__all__ = ["DEDUPLICATED", "IDEMPOTENT", "NON_IDEMPOTENT", "dispatcher", "pull", "rows"]
