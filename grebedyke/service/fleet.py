"""Makes a node one of a fleet: the parts that its configuration names, and where they hang in."""

import os

from grebedyke.consensus import framing
from grebedyke.consensus.consensus import Consensus
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.service.files import Files
from grebedyke.service.parts import LARGEST_CALL, Parts
from grebedyke.units import ticks


def parts_of(said, process, now):
    """The parts in the order in which they are asked. `process`: a number that no other process has."""
    conf, fleet = said["settings"], said["fleet"]
    me, nodes = int(conf["me"]), len(said["peers"])
    agreement = Consensus(
        SeededRandom(f"{said['seed']} {process}"),
        fleet["name"],
        me,
        nodes,
        fleet["voters"],
        process,
        ticks(fleet["waitMs"]),
    )
    parts = [agreement]
    if said["maintenance"] is not None:
        from grebedyke.maintenance.maintenance import Maintenance

        section, rules = said["maintenance"], conf["rules"]
        keyed = [row for row in conf["operations"] if row["idempotency"] == "keyed"]
        parts.append(
            Maintenance(
                agreement,
                fleet["name"],
                me,
                nodes,
                process,
                ticks(section["leaseMs"]),
                section["drift"],
                ticks(rules["drainGraceMs"]),
                ticks(rules["rampTimeMs"]),
                max((ticks(row["windowMs"]) for row in keyed), default=0),
                {row["group"] for row in keyed},
                None if section["aloneMs"] is None else ticks(section["aloneMs"]),
            )
        )
    if said["shares"] is not None:
        from grebedyke.rate_limits import settings
        from grebedyke.rate_limits.component import RateLimits

        shares = said["shares"]
        longest = max(ticks(row["clientTimeoutMs"]) for row in conf["operations"])
        parts.append(
            RateLimits(
                agreement,
                me,
                nodes,
                process,
                settings.limits(shares),
                ticks(shares["leaseMs"]),
                shares["drift"],
                settings.hold(shares, longest),
                now,
            )
        )
    return parts


def limited(node, parts):
    """The part that keeps the fleet's limits stands where the module asks for them; SIGHUP changes them."""
    sharing = next((part for part in parts if hasattr(part, "gate")), None)
    if sharing is None:
        return
    from grebedyke.rate_limits import settings

    node.desk.dispatcher.quotas.limits, renew, differs = sharing.gate, node.renew, node.differs

    def renewed(said):
        rest = renew(said)

        def in_force(now):
            rest(now)
            if said["shares"] is not None:
                sharing.retune(now, settings.limits(said["shares"]))

        return in_force

    node.renew = renewed
    node.differs = lambda said: differs(said) or said["shares"] != node.said["shares"]


def join(node, files=None):
    """Hangs the parts into a node that has been put together and has not begun."""
    desk, turn, peers, console = node.desk, node.turn, node.peers, node.console
    decide, carry, words, by_hand = turn.decide, turn.carry, peers.heard, console.by_hand
    process = int.from_bytes(os.urandom(7), "little") + 1

    def busy(names):
        return [name for name in names if name in node.pool.endpoints and node.pool.endpoints[name].flights]

    parts = Parts(
        node.loop,
        turn,
        files or Files(node.said["fleet"]["folder"]),
        node.said["fleet"]["name"],
        parts_of(node.said, process, turn.clock()),
        peers.send,
        by_hand,
        busy,
        lambda: desk.dispatcher.endpoints.by_id,
        lambda: desk.dispatcher.endpoints.banned,
    )

    def heard(now, by, data):
        (parts.heard if data[:1] == bytes([framing.VERSION]) else words)(now, by, data)

    def next_decision(now):
        decision = decide(now)
        return decision if decision is not None else parts.decide(now)

    def do(now, decision):
        if type(decision) is tuple:
            parts.do(now, *decision)
        else:
            carry(now, decision)

    turn.decide, turn.carry, turn.last_look = next_decision, do, parts.last_look
    peers.heard, peers.largest = heard, framing.LARGEST
    desk.also_listed = parts.listed
    console.by_hand, console.others, console.largest = parts.operator, parts.called, LARGEST_CALL
    limited(node, parts.parts)
    node.also = parts
