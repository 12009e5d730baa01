"""The door: connections of clients and the call-backs of executors, on one address."""

import socket
from urllib.parse import unquote_to_bytes

import orjson
from loguru import logger

from grebedyke.wire import http
from grebedyke.wire.connection import Connection

NEWS, UP = b"/_jobs/news", b"/up"
# Short of descriptors, a message may take this long to become whole: an honest peer has written it by then.
SLOW, UNREAD = 3_000, 300
# So many connections are accepted in a pass; so many may be there beyond those that are turned away.
AT_ONCE, SPARE = 16, 6
# From its connecting on, who has not yet sent anything good is told so or closed within 3 s, trickling or
# silent.
GREETING, LOOK = 22_000, 2_500
# So much behind an open invocation is read at once, by pieces of this size: the close stands behind it.
BEHIND, SCRAP = 1 << 22, memoryview(bytearray(1 << 18))
# After an error that ends a connection, so much of what still comes is read, for so long: a close before that
# could reset the answer, and reading all of a huge body would take the node's time from others.
WASTE, FAREWELL = 1 << 18, 10_000
# Past that, who writes on behind an open invocation is read by as much each so often.
BREATH = 200
# What may stand in an id: it also goes into a target and a header line of its own.
PLAIN = frozenset(b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-._~")
CONTROL = bytes(range(33)) + b"\x7f"
ONCE = (b"x-request-id", b"x-timeout-ms", b"x-priority-class", b"idempotency-key")


class Client(Connection):
    """What comes in on one accepted connection; `owed` is the invocation that waits for its answer."""

    def __init__(self, door):
        super().__init__(door.turn.touch, once=ONCE)
        self.door, self.owed, self.caller, self.keep, self.crowded = door, None, False, True, False
        self.good, self.waste = False, 0  # good: has handed in an invocation or called back
        self.spilt, self.spilled = False, 0
        self.new = True  # its first invocation is still to come

    def connection_made(self, transport):
        super().connection_made(transport)
        self.door.opened(self)

    def connection_lost(self, exc):
        self.door.closed(self)

    def eof_received(self):
        # The peer has gone, also where an answer is owed; with bytes for it that it does not read, the
        # connection's own end may be long in coming.
        self.door.left(self)
        return False

    def spill(self):
        """More than the ring holds behind an open invocation is thrown away; its answer ends the connection.

        Reading that paused until the answer did not see the client leave: its invocation was sent on, and
        what stood behind it was taken for one whose client waits.
        """
        self.spilt, self.keep, self.lingers = True, False, True
        self.scrap(self.ring.used)
        self.ring.skip(self.ring.used)

    def scrap(self, n):
        self.waste, self.spilled = self.waste + n, self.spilled + n
        if self.waste > WASTE and self.spilled > BEHIND and not self.transport.is_closing():
            self.waste = 0
            self.transport.pause_reading()
            self.door.turn.after(BREATH, lambda now: self.transport.resume_reading())

    def get_buffer(self, hint):
        return SCRAP if self.spilt and self.owed is not None else super().get_buffer(hint)

    def buffer_updated(self, n):
        if self.spilt and self.owed is not None:
            return self.scrap(n)
        super().buffer_updated(n)

    def come(self):
        """How much has been read behind its open invocation."""
        return self.ring.used + self.spilled

    def read(self):
        if self.owed is not None and (self.spilt or not self.ring.free()):
            return self.spill()
        if self.last:
            self.waste += self.ring.used
            self.ring.skip(self.ring.used)  # of a peer that still writes after its last answer
            if self.waste > WASTE and not self.transport.is_closing():
                self.transport.pause_reading()
            return
        try:
            while self.owed is None and not self.last and (message := self.parser.next()):
                self.keep = self.parser.keep
                self.door.message(self, *message)
        except http.Bad as problem:
            self.lingers = True
            self.ring.skip(self.ring.used)
            self.reply(problem.status, str(problem).encode(), close=True)
            self.door.turn.after(FAREWELL, lambda now: self.close())
        except Exception:
            # One bad message must not end more than its own connection.
            if self.door.turn.gauges.few("faults"):
                logger.exception("client connection: a message could not be read", event="client-fault")
            self.reply(500, close=True)
        if self.owed is None and not self.last and self.parser.begun():
            if self.parser.waits:
                self.parser.waits = False
                self.send(http.CONTINUE)
        self.door.rest(self)

    def gone(self):
        return self.transport is None or self.transport.is_closing()

    def movable(self):
        """Nothing of it is half read, owed or still to be written here: another process can go on with it."""
        done = (
            self.owed is None
            and not self.last
            and not self.parser.begun()
            and not (self.out.used or self.body)
        )
        return (
            done
            and self.transport
            and not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()
        )

    def flush(self):
        super().flush()
        # At once: a client that has its answer may send its next message before anyone looks again.
        if self.door.heir and self.movable():
            self.door.heir(self)

    def close(self):
        # Answers wait for the turn's end; a connection may be closed in the turn of its last one.
        if self.transport and not self.transport.is_closing():
            self.flush()
        super().close()

    def reply(self, status, body=b"", headers="", close=False):
        close = close or not self.keep or self.crowded or self.door.ending
        self.send(http.answer(status, len(body), not close, headers), body, close)

    def answered(self):
        """The owed answer is written: what the peer has sent meanwhile is read now."""
        self.owed = None
        if self.lingers:
            self.waste = 0
            self.door.turn.after(FAREWELL, lambda now: self.close())
        if not self.last and self.parser.begun():
            self.read()
        self.more()
        self.door.rest(self)


class Door:
    """Listens; hands invocations to `take`, call-backs to `news`, and tells `leave` of clients that left."""

    def __init__(self, turn, operations, take, news, leave, most, share, patience):
        self.turn, self.take, self.news, self.leave = turn, take, news, leave
        self.most, self.share, self.allowed = most, share, {}
        self.tune(operations, patience)
        # Of the clients, longest first: those between two messages that were good, those that never were, and
        # those with a message that is not whole yet.
        self.clients, self.idle, self.strangers, self.unsaid, self.usual = {}, {}, {}, {}, {}
        self.server, self.stopping, self.ending, self.up = None, False, False, False
        self.coming = 0  # accepted, and not set up yet
        self.heir = None  # takes a client that is at rest to the process that goes on with it

    def tune(self, operations, patience):
        """operations: each one's client timeout by name, in tenths of a millisecond."""
        # Clients go on with the time that was in force when they began, after it was made shorter.
        self.allowed = {
            **self.allowed,
            **{name: max(time, self.allowed.get(name, 0)) for name, time in operations.items()},
        }
        self.operations, self.patience = operations, patience

    def named(self, said):
        """An operation as a path or header has it: as the settings do in UTF-8, or with percent signs."""
        name = http.text(said)
        return name if name in self.operations or b"%" not in said else http.text(unquote_to_bytes(said))

    async def listen(self, loop, host, port, sock=None):
        """`sock`: another process listens there already, and both take connections out of its one queue."""
        if sock is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # For a successor that cannot be given this one.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            try:
                sock.bind((host, port))
            except OSError:
                sock.close()
                raise
        sock.setblocking(False)
        # The backlog holds a burst of connections while a turn runs.
        sock.listen(1024)
        self.server, self.loop = sock, loop
        loop.add_reader(sock, self.accept)
        if not self.up:
            self.look(self.turn.clock())
        self.up = True

    def descriptor(self):
        return self.server.fileno()

    def deafen(self):
        """No more accepted here; whoever shares the queue takes what is in it."""
        if self.server:
            self.loop.remove_reader(self.server)
            self.server.close()
            self.server = None

    def accept(self):
        """A few in a pass, and none beyond what descriptors there are: with the limit met, accepting stops.

        asyncio's own server takes a whole crowd in one pass, before a word of any is read, and at the limit
        accepts nobody for a second: what clients had sent meanwhile was lost.
        """
        for _ in range(AT_ONCE):
            # Some beyond those that are turned away, whose connections are not closed yet.
            if len(self.clients) + self.coming >= self.most + self.most // 16 + SPARE:
                return self.pause()
            try:
                sock, _ = self.server.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as problem:
                if self.turn.gauges.few("faults"):
                    logger.error("cannot accept: {why}", event="loop-fault", why=problem.strerror)
                return self.pause()
            sock.setblocking(False)
            self.coming += 1
            self.loop.create_task(self.receive(sock))

    async def receive(self, sock):
        client = Client(self)
        try:
            # asyncio leaves it out where the listener was made without the protocol's number. A short answer
            # waited until the one before was acknowledged, and went with a close over unread bytes.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            sock.close()
        finally:
            self.coming -= 1
        if client in self.unsaid:
            self.unsaid[client] = self.turn.clock()  # read from here on

    def pause(self):
        self.loop.remove_reader(self.server)
        self.turn.after(UNREAD, self.resume)

    def resume(self, now):
        """In a turn: what a client had sent before it is read."""
        if not self.server:
            return
        room = [client for client, since in self.unsaid.items() if now - since > UNREAD and not client.good]
        for client in ([*self.strangers, *room] or [*self.idle][:1])[:AT_ONCE]:
            self.end(client)
        self.loop.add_reader(self.server, self.accept)

    async def adopt(self, fd, good, caller):
        """A connection that another process has accepted, and that is between two messages."""
        client = Client(self)
        client.good, client.caller = good, caller
        await self.loop.connect_accepted_socket(lambda: client, socket.socket(fileno=fd))
        if good and client in self.unsaid and not client.parser.begun():
            if not caller:
                self.usual[client] = None
            self.rest(client)

    def movable(self):
        return [client for client in self.clients if client.movable()]

    def opened(self, client):
        """Accepting must not meet the limit on descriptors: who never sent anything good makes room first.

        Clients that were good may have nothing but their open connection, and a crowd comes by hundreds.
        Never
        the newcomer: its invocation may be with the kernel already, and would be lost with it.
        """
        now = self.turn.clock()
        self.clients[client] = None
        if len(self.clients) > self.most:
            first = next(iter(self.unsaid), None)
            silent = now - self.unsaid[first] if first else 0
            longest = next(iter(self.strangers), first if silent > SLOW else None)
            if not longest and self.full():
                # One that came in this pass of the loop may have spoken and not been read.
                longest = first if silent > UNREAD else next(iter(self.idle), None)
            if longest:
                self.end(longest)
            else:
                client.crowded = True
        self.unsaid[client] = now

    def end(self, client):
        for held in (self.idle, self.strangers, self.unsaid, self.usual):
            held.pop(client, None)
        client.close()

    def known(self, client):
        """Clients may hold only so many descriptors: of many that ask once and stay, the longest idle go."""
        client.good = True
        self.idle.pop(client, None)  # it is about to be owed an answer
        self.usual[client] = None
        if len(self.usual) > self.share and (longest := next((c for c in self.idle if not c.caller), None)):
            self.end(longest)

    def full(self):
        return len(self.clients) > self.most + self.most // 16

    def busy(self):
        """Full of clients that wait for an answer, and of executors, whose call-backs end that.

        Clients that say nothing are closed as room is needed. Counted with them, in a crowd that comes again
        and again, most invocations were turned away though their connections were there.
        """
        rest = len(self.strangers) + len(self.unsaid) + sum(not client.caller for client in self.idle)
        return len(self.clients) - rest > self.most + self.most // 16

    def closed(self, client):
        for held in (self.clients, self.idle, self.strangers, self.unsaid, self.usual):
            held.pop(client, None)
        self.left(client)

    def left(self, client):
        if client.owed is not None:
            self.turn.put(self.leave, client.owed, client)
            client.owed = None

    def rest(self, client):
        self.idle.pop(client, None)
        self.strangers.pop(client, None)
        if client in self.clients and client.owed is None and client.parser.begun():
            self.unsaid.setdefault(client, self.turn.clock())  # bytes that trickle in buy no time
            return
        self.unsaid.pop(client, None)
        if client in self.clients and client.owed is None:
            (self.idle if client.good else self.strangers)[client] = None

    def look(self, now):
        """A peer that says nothing, or never finishes its message, would hold its descriptor for good."""
        for client, since in list(self.unsaid.items()):
            if now - since > (self.patience if client.good else GREETING) and not client.last:
                client.reply(408, close=True)
        self.turn.at(now + LOOK, self.look)

    def message(self, client, method, target, headers, body):
        path = target.partition(b"?")[0]
        operation = self.named(path[1:].partition(b"/")[0])
        if path == NEWS:
            allowed, client.caller = b"POST", True
        else:
            allowed = b"GET" if path == UP else b"POST" if operation in self.operations else None
        if allowed is None:
            client.reply(404)
        elif method != allowed:
            client.reply(405, headers=f"Allow: {allowed.decode()}\r\n")
        elif path == UP:
            client.reply(200 if self.up and not self.stopping else 503)
        elif path == NEWS:
            self.called_back(client, body)
        else:
            self.handed_in(client, operation, method, target, headers, body)

    def called_back(self, client, body):
        # Answered whatever it says, else the executor repeats it.
        client.reply(204)
        client.good = True
        try:
            told = orjson.loads(body)
            id, name, state, result = told["id"], told["from"], told["state"], told.get("result", "")
            result = result.encode() if isinstance(result, str) else orjson.dumps(result)
            if not (isinstance(id, str) and isinstance(name, str)):
                raise TypeError("id and from are texts")
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            if self.turn.gauges.few("odd"):
                logger.warning("call-back not understood: {why}", event="call-back-odd", why=repr(problem))
            return
        self.turn.put(self.news, id, name, state, result, told.get("load"))

    def handed_in(self, client, operation, method, target, headers, body):
        id, wait = headers.get(b"x-request-id", b""), headers.get(b"x-timeout-ms", b"")
        named = headers.get(b"x-priority-class")
        named = operation if named is None else self.named(named)
        # A client timeout beyond its operation's would pass for the one by which repeats are known.
        if not (
            id
            and len(id) <= 128
            and PLAIN.issuperset(id)
            and wait.isdigit()
            and len(wait) < 10
            and 0 < int(wait) * 10 <= self.allowed[operation]
            and named == operation
        ):
            raise http.Bad(400, "no usable X-Request-ID, X-Timeout-Ms or X-Priority-Class")
        if len(target.translate(None, CONTROL)) < len(target):
            raise http.Bad(400, "control bytes in the target")  # it goes into a line of the executor's
        cost, extras = (
            headers.get(b"x-cost", b"0"),
            dict(
                part.partition(b"=")[::2]
                for part in headers.get(b"x-attrs", b"").replace(b" ", b"").split(b",")
            ),
        )
        try:
            hint, slots = float(cost) / 100, max(int(float(extras.get(b"slots") or 1)), 1)
            if not 0 <= hint < 1e9:
                raise ValueError
        except (ValueError, OverflowError):
            raise http.Bad(400, "malformed X-Cost or X-Attrs") from None
        self.unsaid.pop(client, None)
        if client.crowded and self.busy():
            self.turn.gauges.count("crowded")
            return client.reply(503)  # throttled, since it never went out; a close would lose it
        self.known(client)
        tenant = http.text(headers.get(b"x-tenant-id", b"")) or None
        line = method, target, headers.get(b"idempotency-key")
        wait = min(int(wait) * 10, self.operations[operation])
        self.take(client, id, named, tenant, wait, hint, slots, line, body)
        client.new = False

    def stop(self):
        self.stopping = True

    def served(self):
        """Whether a client's connection is open on which a further invocation may come, or come whole.

        One just accepted, or half read, as well: its last byte may be with the kernel.
        """
        return any(not client.caller for client in self.clients)

    def wind_up(self):
        """Closes the clients' idle connections; executors keep theirs, to call back until the last answer."""
        self.ending = True
        for client in [c for c in (*self.idle, *self.strangers) if not c.caller]:
            client.close()

    def shut(self):
        self.deafen()
        for client in list(self.clients):
            client.close()
