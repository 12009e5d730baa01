"""Takes new terms over into a dispatcher that runs, between two turns: books, credit and what is open stay.

A second dispatcher beside the first would forget load, credit and young executors' budgets, and two sets of
decisions would load one executor.
"""

from inspect import signature

from grebedyke.model import MOOT

PARTS = ("fleet",)


def copy(old, new, *but):
    """Each term is kept under the name by which the part is given it."""
    for name in signature(type(old).__init__).parameters:
        if name not in ("self", "chance", *but):
            setattr(old, name, getattr(new, name))


def switch(now, old, new):
    """`new` was built of the new terms and has heard nothing yet; it is used up."""
    fleet = old.fleet
    for inv in old.invs.values():
        # A forward's time ends by the new tick: what was taken by a shorter one would still go again then,
        # beside a forward that its executor does not know to be given up.
        inv.latest = min(inv.latest, inv.due - 4 * new.tick)
    moved = any(getattr(fleet, name) != getattr(new.fleet, name) for name in ("split", "nodes", "me"))
    for name, op in new.operations.items():
        if before := old.operations.get(name):
            # What is open keeps the operation that it was taken with, and that one's rules.
            op.mean, op.span = before.mean, before.span if before.timeout == op.timeout else 0
    for part in PARTS:
        copy(getattr(old, part), getattr(new, part))
    old.cutoffs.adopt_settings(new.cutoffs)
    old.shares.adopt_settings(new.shares)
    old.budget.adopt_settings(new.budget, now)
    # What came in under an operation that is no more is still dispatched by it; the door takes no more of it.
    new.operations = {**old.operations, **new.operations}
    copy(old, new, "parts")
    old.ops, old.tells = new.ops, new.tells
    for e in fleet.all.values():
        e.full = {}  # by operation, as it was before
    if not old.means.cancels:
        old.cuts, old.cutoffs.in_force = [], None
    if moved:
        renumber(now, old)
    old.listed(now, False, [])
    old.alarm = 0
    if old.means.asks and not old.ask_at:
        old.unlisted(now)


def renumber(now, d):
    """Nodes have other numbers or groups: what was lent goes back without blame, what is held asks anew."""
    held = sorted((inv for inv in d.held if inv.held), key=lambda inv: inv.key)
    d.held, d.asked, d.fleet.missed = {}, {}, {}
    for inv in list(d.invs.values()):
        for f in inv.forwards:
            f.lender = None  # no word of it to whoever has that number now
            if inv.asker is not None and not f.done:
                d.ended(now, inv.id, f.n, MOOT, True)
        if inv.asker is not None:
            d.finish(inv)  # its own node answers it
    d.leases.clear()
    d.words.clear()
    for inv in reversed(held):
        if inv.asker is None:
            inv.group, inv.lent, inv.asked, inv.rounds, inv.ask_at = None, None, [], 0, 0
            d.hold(inv)
