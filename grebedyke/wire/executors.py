"""Connections to executors: one message at a time on each, the most recently used first."""

from loguru import logger

from grebedyke.wire import http
from grebedyke.wire.connection import Connection

# A second answer, if any, comes some milliseconds after the first: a line that carries again sooner is hot.
WARY = 200
ANSWERED, UNSENT, BROKEN = "answered", "unsent", "broken"


class Call:
    """One message to an executor and what came of it; `done(how, status, headers, body)` is told once.

    UNSENT is told only where the last byte never reached the kernel; all else may have arrived.
    """

    __slots__ = (
        "endpoint",
        "head",
        "body",
        "done",
        "line",
        "task",
        "over",
        "since",
        "opened",
        "life",
        "forwards",
    )

    def __init__(self, endpoint, head, body, done, forwards):
        self.endpoint, self.head, self.body, self.done = endpoint, head, body, done
        self.line, self.task, self.life, self.forwards = None, None, endpoint.life(), forwards
        self.over, self.since, self.opened = False, 0, False

    def end(self, how, status=0, headers=None, body=b""):
        if not self.over:
            self.over, self.body = True, None
            self.done(how, status, headers or {}, body)

    def sent(self):
        return self.line is not None and not self.line.unsent()

    def drop(self):
        """Gives the message up without a word to `done`; before an answer that ends the connection."""
        if not self.over:
            self.over, self.body = True, None
            if self.task:
                self.task.cancel()
            if self.line:
                self.line.abort()


class Line(Connection):
    """A connection to one executor."""

    def __init__(self, endpoint):
        super().__init__(endpoint.pool.turn.touch, answers=True)
        self.endpoint, self.call, self.since, self.kept, self.fresh = endpoint, None, 0, 0, True
        self.life, self.hot, self.doubted = endpoint.life(), False, None

    def connection_made(self, transport):
        super().connection_made(transport)
        self.endpoint.lines[self] = self.endpoint.pool.lines[self] = None

    def carry(self, call):
        self.call, call.line = call, self
        self.kept = self.endpoint.pool.turn.clock() - self.since
        self.hot = not self.fresh and self.kept < self.endpoint.pool.wary
        self.send(call.head, call.body)

    def unsent(self):
        """Bytes of the message are still here, in the ring or with the transport."""
        return bool(self.out.used or self.body or not self.whole)

    def read(self):
        try:
            while message := self.parser.next():
                self.got(*message)
            if self.call is None and self.parser.begun():
                self.abort()  # half a line that nobody asked for: the next answer would begin with it
        except http.Bad as problem:
            if self.endpoint.pool.turn.gauges.few("odd"):
                logger.warning(
                    "executor {executor}: answer not understood: {why}",
                    event="answer-odd",
                    executor=self.endpoint.name,
                    why=str(problem),
                )
            self.abort()

    def got(self, status, headers, body):
        call, self.call = self.call, None
        if call is None:
            return self.abort()  # an answer to nothing: what follows could be taken for another's
        if self.unsent() and not call.over:
            # To an earlier message, or before this one was whole there; on this line the rest would still
            # reach it, as a forward that counts.
            self.abort()
            return call.end(UNSENT)
        if self.hot and call.forwards and status != 202 and not call.over:
            # It may be the one before's, told twice: believed, what runs there would go again. Another answer
            # is this message's; without one this is. Resting lines instead, until they are cool, cost three
            # times the connects.
            self.call, self.hot, self.doubted = call, False, (status, headers, body)
            pool = self.endpoint.pool
            return pool.turn.after(pool.wary, self.believe, call)
        self.doubted = None
        if self.parser.keep and not call.over:
            self.endpoint.rest(self)
        else:
            self.close()
        call.end(ANSWERED, status, headers, body)

    def believe(self, now, call):
        if self.call is call and self.doubted and not self.transport.is_closing():
            self.got(*self.doubted)

    def eof_received(self):
        if (message := self.parser.ended()) and self.call:
            self.got(*message)
        elif self in self.endpoint.idle:
            self.endpoint.pool.went_stale(self.endpoint.pool.turn.clock() - self.since)
        return False

    def connection_lost(self, exc):
        self.endpoint.lost(self)
        call, self.call = self.call, None
        if call:
            if not (self.fresh or call.over):  # ended there, not by this node
                self.endpoint.pool.went_stale(self.kept)
            call.end(UNSENT if self.unsent() else BROKEN)


class Endpoint:
    """One executor as the wire sees it: its address and the lines to it."""

    def __init__(self, pool, name):
        self.pool, self.name, self.address, self.idle, self.lines = pool, name, None, [], {}
        self.host, self.flights, self.listed, self.since, self.takes = b"", 0, False, None, False

    def life(self):
        return self.address, self.since

    def move(self, address, since):
        """Drops lines to a former life: a machine that vanished neither ends them nor answers on them."""
        if (address, since) != (self.address, self.since):
            self.address, self.since = address, since
            self.host = b"%s:%d" % (address[0].encode(), address[1])
            for line in self.idle[:]:
                line.close()

    def call(self, method, target, headers, body, done):
        """Sends at the end of this turn, on an idle line or a new one."""
        length = len(body) if method == b"POST" else None
        head = http.request(method, target, self.host, headers, length)
        call = Call(self, head, body, done, method == b"POST")
        now = self.pool.turn.clock()
        call.since = now
        # An executor closes what stood idle: a message that crosses that ends as a reset. What is too old to
        # be used stays until the sweep: when the executor closes it, that tells how long it really keeps one.
        while self.idle and now - self.idle[-1].since < self.pool.usable:
            line = self.idle.pop()
            if not line.transport.is_closing():
                line.carry(call)
                return call
            line.close()
        if not (self.address and self.pool.room()):
            self.pool.turn.put(lambda now: call.end(UNSENT))
            return call
        self.pool.turn.gauges.count("connects")
        # Counted from here on: of a turn's calls none has begun to connect when the next asks for room.
        self.pool.opening += 1
        call.opened, call.task = True, self.pool.loop.create_task(self.open(call))
        call.task.add_done_callback(self.pool.opened)
        # Connecting has a limit of its own, far under the forward's: a vanished machine never comes up.
        self.pool.turn.after(self.pool.connect, self.late, call)
        return call

    async def open(self, call):
        line = None
        try:
            _, line = await self.pool.loop.create_connection(lambda: Line(self), *call.life[0])
        except Exception as problem:
            # A name that no resolver takes is no OSError, and the call would have no end.
            if not isinstance(problem, OSError) and self.pool.turn.gauges.few("odd"):
                logger.warning(
                    "executor {executor}: no connection: {why}",
                    event="connect-odd",
                    executor=self.name,
                    why=repr(problem),
                )
        call.task = None
        # The list may have said more meanwhile: another address or life, or that nothing new is wanted.
        fits = line and call.life == self.life() and not line.transport.is_closing()
        if fits and not call.over and (self.takes or not call.forwards):
            return line.carry(call)
        if fits:
            self.rest(line)
        elif line:
            line.close()
        call.end(UNSENT)

    def late(self, now, call):
        if call.task and not call.over:
            call.task.cancel()
            call.task = None
            call.end(UNSENT)

    def rest(self, line):
        if line.life != self.life():
            return line.close()  # to a former life: it answered there, the next is for who lives now
        line.since, line.fresh = self.pool.turn.clock(), False
        self.idle.append(line)

    def lost(self, line):
        self.lines.pop(line, None)
        self.pool.lines.pop(line, None)
        if line in self.idle:
            self.idle.remove(line)


class Pool:
    """All executors' endpoints, and the limits that their connections share."""

    def __init__(self, loop, turn, keep, connect, most):
        self.loop, self.turn, self.most, self.whole = loop, turn, most, most
        self.endpoints, self.lines, self.opening = {}, {}, 0
        # Lines may die sooner than the settings say, with a word or at the next message: `usable` is learnt.
        self.usable = keep
        self.tune(keep, connect)

    def tune(self, keep, connect):
        self.keep, self.connect, self.usable = keep, connect, min(self.usable, keep)
        self.wary = WARY

    def share(self, with_another):
        """Two processes of one node hold no more lines than one may."""
        self.most = self.whole // 2 if with_another else self.whole

    def went_stale(self, age):
        self.usable = min(self.usable, age // 2)

    def endpoint(self, name):
        return self.endpoints.get(name) or self.endpoints.setdefault(name, Endpoint(self, name))

    def opened(self, task):
        self.opening -= 1

    def room(self):
        if len(self.lines) + self.opening < self.most:
            return True
        idle = [e.idle[0] for e in self.endpoints.values() if e.idle]
        if idle:
            # Off the books at once: its end is told a pass later, and each call of a turn took the same one.
            longest = min(idle, key=lambda line: line.since)
            longest.endpoint.lost(longest)
            longest.close()
        return bool(idle)

    def listed(self, whole, rows):
        """rows: (name, address, state, since)."""
        for endpoint in self.endpoints.values() if whole else ():
            endpoint.listed = endpoint.takes = False
        for name, address, state, since in rows:
            endpoint = self.endpoint(name)
            endpoint.listed, endpoint.takes = state != "gone", state == "healthy"
            if endpoint.listed:
                endpoint.move(address, since)

    def sweep(self, now):
        # Doubled about every 7 s without such a sign: a deploy's closes are no rule for the rest of the day.
        self.usable = min(self.usable + self.usable // 10 + 10, self.keep)
        for name, endpoint in list(self.endpoints.items()):
            for line in [x for x in endpoint.idle if now - x.since >= self.keep or not endpoint.listed]:
                line.close()
            if not endpoint.listed and not endpoint.flights and not endpoint.lines:
                del self.endpoints[name]
