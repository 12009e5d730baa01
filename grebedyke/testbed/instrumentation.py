"""What stands around a node's parts, hollow or real: counts at its socket, time of its parts, what it learns.

Nothing is counted by what is judged: datagrams where they pass the socket, processor time around the calls of
the host, values where the agreement tells its followers.
"""

import asyncio
import gc
import random
import sys
import types
from collections import Counter, deque
from time import thread_time_ns
from types import SimpleNamespace
from zlib import crc32

import msgpack

from grebedyke.consensus.actions import SendMessage
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.units import TICKS_PER_SECOND

# What went through is told by spans of that length: the judge's slack is what one of them lets through.
SPAN = TICKS_PER_SECOND // 10
TIMED = "receive_datagram", "next_action", "perform", "expire"


class Tap:
    """One node over all its lives. `counts`: datagrams out, bytes out, datagrams in, bytes in.

    `cut`: nodes to which nothing gets through; `loss`, `delay`: a chance, and seconds, of each datagram
    that this node sends.
    """

    def __init__(self, me, seen, seed=0):
        self.me, self.seen, self.random = me, seen, random.Random(f"tap {seed} {me}")
        self.counts, self.kinds, self.took, self.inside = [0, 0, 0, 0], Counter(), 0, False
        self.calls = 0  # of the parts, from outside
        self.cut, self.loss, self.delay, self.knows = frozenset(), 0.0, 0.0, {}
        self.parts = self.agreement = None
        # Of its asks for shares: the last three, and how many came sooner than its part ever asks.
        self.asks, self.learned_at, self.hasty = deque([0] * 3, 3), 0, 0

    def attach(self, parts, peers, loop):
        """Around a node that has been put together and has not begun."""
        self.parts, self.knows = parts, {}
        self.asks.extend([0] * 3)
        send, receive, do = parts.send_datagram, peers.datagram_received, parts.perform

        def out(to, body):
            self.counts[0] += 1
            self.counts[1] += len(body)
            if to in self.cut or self.loss and self.random.random() < self.loss:
                return
            if self.delay:
                loop.call_later(self.delay * self.random.random() * 2, send, to, body)
            else:
                send(to, body)

        def received(data, address):
            self.counts[2] += 1
            self.counts[3] += len(data)
            receive(data, address)

        def done(now, part, decision):
            if isinstance(decision, SendMessage):
                kind = decision.message[0]
                self.kinds[kind] += 1
                if kind == "s":
                    self.asked(now, part.terms.lease)
            do(now, part, decision)

        parts.send_datagram, peers.datagram_received, parts.perform = out, received, done
        for name in TIMED:
            setattr(parts, name, self.timed(getattr(parts, name)))
        self.agreement = next(part for part in parts.components if hasattr(part, "listeners"))
        self.agreement.listeners.append(self.learned)

    def asked(self, now, lease):
        """Of three asks in a row, without news of a holder in between, at most one is out of its turn: by the
        node's own clock they lie an eighth of a lease apart.
        """
        self.asks.append(now)
        if self.asks[0] > self.learned_at and now - self.asks[0] < lease // 8:
            self.hasty += 1

    def timed(self, call):
        def inner(*args):
            if self.inside:
                return call(*args)
            self.inside, self.calls, start = True, self.calls + 1, thread_time_ns()
            try:
                return call(*args)
            finally:
                self.took += thread_time_ns() - start
                self.inside = False

        return inner

    def learned(self, now, key, value):
        self.learned_at = now
        self.knows[key] = self.seen.learned(
            self.me, key, tuple(self.agreement.chosen_values.by_key[key].ballot), value
        )

    def ready(self, now):
        """Whether this node may do all that its parts are for: its view is sure, its shares are in force."""
        return self.parts.is_started and all(
            part.view_is_certain(now)
            if hasattr(part, "view_is_certain")
            else part.share_client.has_current_shares(now)
            for part in self.parts.components
            if hasattr(part, "view_is_certain") or hasattr(part, "share_client")
        )

    def role(self):
        """What this node is to the others at this moment; who drives a plan the run knows."""
        if self.parts is None or not self.parts.is_started:
            return "down"
        if any(part.election.is_holder() for part in self.parts.components if hasattr(part, "election")):
            return "holder"
        return "voter" if self.agreement.is_voting() else "other"


class Seen:
    """What the nodes of one process have learnt: each value told once, and each contradiction."""

    def __init__(self):
        self.values, self.news, self.broken = {}, [], []

    def learned(self, me, key, ballot, value):
        known = self.values.get((key, ballot))
        if known is None:
            known = self.values[key, ballot] = value, crc32(msgpack.packb(value))
            self.news.append([me, key, ballot, value])
        elif known[0] is not value and known[0] != value:
            self.broken.append(f"node {me} has another {key} under {ballot} than others")
        return known[1]

    def told(self):
        news, self.news = self.news, []
        broken, self.broken = self.broken, []
        return news, broken


class Demand:
    """What a node's clients would have: each of `wants` (tenants) once in `every`, at times of its own.

    What goes through runs for up to `hold`, whatever becomes of its node meanwhile. Without the ledger of
    clients and executors: the limiter alone is asked, as the decision module asks it.
    """

    def __init__(self, loop, tap, turn, seed, wants, operation, every, hold, passes):
        self.loop, self.tap, self.turn, self.wants, self.operation = loop, tap, turn, wants, operation
        self.every, self.hold, self.passes = every, hold, passes
        self.chance, self.timer = SeededRandom(f"demand {seed} {tap.me}"), None

    def go(self):
        self.stop()
        self.timer = self.loop.call_later(self.every * self.chance.draw() / TICKS_PER_SECOND, self.ask)

    def stop(self):
        if self.timer:
            self.timer.cancel()

    def ask(self):
        self.timer = self.loop.call_later(
            self.every * (0.5 + self.chance.draw()) / TICKS_PER_SECOND, self.ask
        )
        limiter = next(
            (part.request_limiter for part in self.tap.parts.components if hasattr(part, "request_limiter")),
            None,
        )
        if limiter is None or not self.tap.parts.is_started:
            return
        for tenant in self.wants:
            now, inv = self.turn.clock(), Asked(self.operation, tenant)
            if limiter.try_acquire(now, inv):
                continue
            self.passes[tenant, now // SPAN, 1] += 1
            if inv in limiter.acquired_slots:
                wait = int(self.hold * (0.1 + 0.85 * self.chance.draw()))
                self.passes[tenant, (now + wait) // SPAN, -1] += 1
                self.loop.call_later(wait / TICKS_PER_SECOND, limiter.release, inv)
        # As after any input: who has none and is asked for some says so at once.
        self.turn.schedule()


class Asked:
    """As much of an invocation as limits look at."""

    __slots__ = ("operation", "tenant", "over_quota", "origin_node")

    def __init__(self, operation, tenant):
        self.operation = operation
        self.tenant = tenant
        self.over_quota = False
        self.origin_node = None


def operation(name):
    return SimpleNamespace(name=name)


# Beyond these nothing is a part's own.
OPAQUE = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    asyncio.AbstractEventLoop,
    Tap,
)


def weighed(components, reassembler):
    """(objects, bytes) that hang on the components of a node; what several nodes share is each one's."""
    seen, left, size = set(), [*components, reassembler], 0
    while left:
        one = left.pop()
        if id(one) in seen or isinstance(one, OPAQUE):
            continue
        seen.add(id(one))
        size += sys.getsizeof(one)
        left += gc.get_referents(one)
    return len(seen), size


def own(one):
    return type(one).__module__.startswith("grebedyke.") and not isinstance(one, Tap)


def attributes(one):
    names = [name for kind in type(one).__mro__ for name in getattr(kind, "__slots__", ())]
    return {
        **{name: getattr(one, name) for name in names if hasattr(one, name)},
        **getattr(one, "__dict__", {}),
    }


def lengths(parts):
    """(entries, containers) of each place in the parts: what is never dropped shows here."""
    found, number, seen = Counter(), Counter(), set()

    def walk(path, one):
        if isinstance(one, (dict, list, set, frozenset, deque)):
            found[path] += len(one)
            number[path] += 1
            for x in one.values() if isinstance(one, dict) else one:
                walk(path, x)
        elif own(one) and not isinstance(one, (types.FunctionType, type, tuple)) and id(one) not in seen:
            seen.add(id(one))
            for name, x in attributes(one).items():
                walk(f"{path}.{name}", x)

    for part in parts.components:
        walk(type(part).__name__, part)
    return {path: (n, number[path]) for path, n in found.items()}


def limits_of(section):
    """Tenant -> (kind, a second or at once, burst), as a configuration has them."""
    return {
        row["tenant"]: (LimitKind.RATE, row["rate"], row["burst"])
        if row.get("rate")
        else (LimitKind.CONCURRENCY, row["underWay"], 0)
        for row in section["limits"]
    }
