"""Follows the list of executors: one watch after the other on one connection."""

import asyncio

import orjson
from loguru import logger

from grebedyke.wire import http
from grebedyke.wire.connection import Connection

# Under the 200 ms within which the next call must come.
PAUSE = 1_000
# So long the answer to a call that was given up is still taken.
LATE = 10_000
STATES = {"Ready": "healthy", "Terminating": "draining"}


def entries(listing):
    """(name, address, zone, kind, cell, state, since, weight) of each; states in the module's words."""
    rows, odd = [], []
    for row in listing.get("endpoints") or []:
        # One odd line must not cost the others, nor thousands of them a log line each.
        if not (isinstance(row, dict) and isinstance(row.get("name"), str) and row["name"]):
            odd.append(str(row)[:40])
            continue
        name, address = row["name"], row.get("address")
        host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
        state = STATES.get(row.get("status"), "gone") if isinstance(row.get("status"), str) else "gone"
        # Not all digits are decimal ones: int() takes no superscripts.
        if state != "gone" and not (host and port.isdecimal() and 0 < int(port[:6]) < 65_536):
            # Without an address nothing can be sent there.
            odd.append(name[:40])
            state = "gone"
        place = host, int(port) if port.isdecimal() and len(port) < 6 else 0
        rows.append(
            (
                name,
                place,
                *map(plain, (row.get("zone"), row.get("type"), row.get("group"))),
                state,
                figure(row.get("since_ms"), 0),
                figure(row.get("weight"), 1),
            )
        )
    if odd:
        logger.warning(
            "discovery: {lines} odd lines left out, the first: {first}",
            event="list-odd",
            lines=len(odd),
            first=odd[0],
        )
    return rows


def plain(value):
    """A list or a table in a name's place would fail the whole list in the module, its version taken.

    >>> plain("a"), plain(3), plain(["a"])
    ('a', 3, None)
    """
    return None if isinstance(value, (list, dict)) else value


def figure(value, other):
    """
    >>> figure(2.5, 1), figure(None, 1), figure("x", 1), figure(-3, 0), figure(True, 0)
    (2.5, 1, 1, 0, 0)
    """
    good = isinstance(value, (int, float)) and not isinstance(value, bool) and value > 0
    return value if good else other


class Agent(Connection):
    """The connection to discovery; a list may be far larger than a job's body."""

    def __init__(self, watch):
        super().__init__(watch.turn.touch, answers=True, largest=16 << 20)
        self.watch = watch

    def read(self):
        try:
            while message := self.parser.next():
                self.watch.answered(self, *message)
        except (http.Bad, ValueError, KeyError, TypeError, AttributeError) as problem:
            logger.warning("discovery: answer not understood: {why}", event="list-fault", why=repr(problem))
            self.abort()

    def eof_received(self):
        if message := self.parser.ended():
            self.watch.answered(self, *message)
        return False

    def connection_lost(self, exc):
        self.watch.lost(self)


class Watch:
    """`told(whole, entries)` and `failed()` become inputs of the next turn.

    A failed watch is begun anew after `again`, twice as late with each further failure, `most` at the most:
    where lists are asked for discovery is shared by all nodes, and what it turns away would only come again.
    The first call, and those after a failure, wait for nothing: the agent says at once what it has, which
    counts as told from a process's first moment and from discovery's return on. `first` is set with the
    first answer or failure.
    """

    def __init__(self, loop, turn, host, port, index, wait, grace, again, told, failed, most=None):
        self.loop, self.turn, self.address, self.index = loop, turn, (host, port), index
        self.wait, self.grace, self.again, self.most = wait, grace, again, most or again
        self.told, self.failed, self.failures = told, failed, 0
        self.agent, self.task, self.serial = None, None, 0
        self.late = None  # the agent of a call given up, which may yet answer it
        self.asking = self.down = self.over = False
        self.anew, self.first = True, asyncio.Event()

    def tune(self, grace, again, most):
        self.grace, self.again, self.most = grace, again, most

    def ask(self, now=0):
        if self.asking or self.over:
            return
        self.asking, self.serial, self.asked = True, self.serial + 1, self.turn.clock()
        # Silence is how an outage shows: the watch ends some time after its wait is over. A whole list waits
        # for nothing.
        self.turn.after(self.waits() + self.grace, self.silent, self.serial)
        if self.agent:
            self.write()
        else:
            self.task = self.loop.create_task(self.open(self.address, self.serial))

    def waits(self):
        return 0 if self.index is None or self.anew else self.wait

    async def open(self, address, serial):
        agent = None
        try:
            _, agent = await self.loop.create_connection(lambda: Agent(self), *address)
        except Exception as problem:
            # A name that no resolver takes is no OSError.
            if not isinstance(problem, OSError):
                logger.warning("discovery: no connection: {why}", event="list-odd", why=repr(problem))
        if serial != self.serial or not self.asking:
            if agent:
                agent.close()  # the watch has moved on, or is over
        elif agent and not agent.transport.is_closing():
            self.agent = agent
            self.write()
        else:
            self.fail()  # also one that was lost before this went on: its end was told to nobody

    def move(self, host, port):
        """Another discovery from now on: whatever the old one still says or fails to say is nothing to it.

        The whole list is asked for, since versions of two agents need not be comparable.
        """
        if (host, port) == self.address or self.over:
            return
        self.address, self.index, self.asking, self.anew = (host, port), None, False, True
        agent, self.agent = self.agent, None
        self.drop(self.turn.clock(), self.late)
        if agent:
            agent.close()
        elif self.task:
            self.task.cancel()
        self.ask()

    def write(self):
        # A whole list is asked for by a call without a version only where nothing was known at start.
        target = b"/discovery/hosts"
        if self.index is not None:
            target += b"?after=%d&wait_ms=%d" % (self.index, self.waits() // 10)
        self.turn.gauges.count("lists")
        self.agent.send(http.request(b"GET", target, b"%s:%d" % (self.address[0].encode(), self.address[1])))

    def answered(self, agent, status, headers, body):
        if agent is not self.late and (agent is not self.agent or not self.asking):
            return agent.close()
        if status != 200:
            raise ValueError(f"status {status}")
        listing = orjson.loads(body)
        version, rows = int(listing["index"]), entries(listing)
        if agent is self.late:
            # No other answer has come since, so it is to the version that this node has.
            newer, self.agent, self.late = self.agent, agent, None
            self.serial += 1
            if newer:
                newer.abort()
            elif self.task:
                self.task.cancel()
        self.drop(self.turn.clock(), self.late)
        self.asking = self.anew = False
        self.failures = 0
        if self.index is not None and version < self.index:
            # Of a copy that lags, or a discovery that began anew: changes would be applied to another list.
            logger.warning(
                "discovery: version {version} after {before}, the whole list is asked for",
                event="list-older",
                version=version,
                before=self.index,
            )
            self.index = None
            return self.turn.after(PAUSE, self.ask)
        self.index = version
        if self.down:
            logger.info("discovery answers again, version {version}", event="list-again", version=self.index)
            self.down = False
        if listing.get("snapshot") or rows:
            self.turn.put(self.told, bool(listing.get("snapshot")), rows)
        self.first.set()
        if not agent.parser.keep:
            self.agent = None
            agent.close()
        if rows or self.turn.clock() - self.asked > PAUSE:
            self.ask()
        else:
            # One that does not wait, though there is nothing new, would keep the node busy with asking.
            self.turn.after(PAUSE, self.ask)

    def silent(self, now, serial):
        if self.asking and serial == self.serial:
            agent, self.agent = self.agent, None
            if agent and not self.late:
                # The grace may be far under what a busy machine takes to answer: with every call dropped then
                # such an agent would never be heard. One at a time goes on being listened to, beside the new.
                self.late = agent
                self.turn.after(LATE, self.drop, agent)
            elif agent:
                agent.abort()
            else:
                self.task.cancel()
            self.fail()

    def drop(self, now, late):
        if late and late is self.late:
            self.late = None
            late.abort()

    def lost(self, agent):
        if self.late is agent:
            self.late = None
        if self.agent is agent:
            self.agent = None
            if self.asking:
                self.fail()

    def fail(self):
        self.asking, self.anew = False, True
        self.first.set()
        if not self.down and not self.over:
            logger.warning(
                "discovery does not answer; the last list, version {version}, stays in force",
                event="list-down",
                version=self.index,
            )
            self.down = True
        self.turn.put(self.failed)
        self.turn.after(min(self.again << min(self.failures, 8), self.most), self.ask)
        self.failures += 1

    def close(self):
        self.over, self.asking = True, False
        self.drop(self.turn.clock(), self.late)
        if self.agent:
            self.agent.close()
