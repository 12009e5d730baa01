"""Makes a node one of a fleet: the parts that its configuration names, and where they hang in."""

import os

from grebedyke.agreement import frames
from grebedyke.agreement.part import Agreement
from grebedyke.ledger import Chance
from grebedyke.checks import tenths
from grebedyke.service.files import Files
from grebedyke.service.parts import LARGEST_CALL, Parts


def parts_of(said, process):
    """The parts in the order in which they are asked. `process`: a number that no other process has."""
    conf, fleet = said["settings"], said["fleet"]
    me, nodes = int(conf["me"]), len(said["peers"])
    agreement = Agreement(
        Chance(f"{said['seed']} {process}"),
        fleet["name"],
        me,
        nodes,
        fleet["voters"],
        process,
        tenths(fleet["waitMs"]),
    )
    parts = [agreement]
    if said["maintenance"] is not None:
        from grebedyke.maintenance.part import Maintenance

        section, rules = said["maintenance"], conf["rules"]
        keyed = [row for row in conf["operations"] if row["idempotency"] == "keyed"]
        parts.append(
            Maintenance(
                agreement,
                fleet["name"],
                me,
                nodes,
                process,
                tenths(section["leaseMs"]),
                section["drift"],
                tenths(rules["drainGraceMs"]),
                tenths(rules["rampTimeMs"]),
                max((tenths(row["windowMs"]) for row in keyed), default=0),
                {row["group"] for row in keyed},
                None if section["aloneMs"] is None else tenths(section["aloneMs"]),
            )
        )
    return parts


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
        parts_of(node.said, process),
        peers.send,
        by_hand,
        busy,
        lambda: desk.dispatcher.fleet.all,
        lambda: desk.dispatcher.fleet.banned,
    )

    def heard(now, by, data):
        (parts.heard if data[:1] == bytes([frames.VERSION]) else words)(now, by, data)

    def next_decision(now):
        decision = decide(now)
        return decision if decision is not None else parts.decide(now)

    def do(now, decision):
        if isinstance(decision[0], str):
            carry(now, decision)
        else:
            parts.do(now, *decision)

    turn.decide, turn.carry, turn.last_look = next_decision, do, parts.last_look
    peers.heard, peers.largest = heard, frames.LARGEST
    desk.also_listed = parts.listed
    console.by_hand, console.others, console.largest = parts.operator, parts.called, LARGEST_CALL
    node.also = parts
