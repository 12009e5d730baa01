"""Clients that have gone: no forward, first or further, begins more than 0.1 s after its client's close.

Each scene holds invocations in one place, lets their clients go in one instant, and counts the forwards that
the node begins to write later and that reach an executor. Executors are threads: the loop stands still.
"""

import asyncio
import socket
import threading
import time

import pytest
from crossing import ROW, TERMS, Client, Executor, Place, until

from grebedyke.model.actions import Forward
from grebedyke.model.peer_messages import SlotGrant, SlotRequest
from grebedyke.rate_limits.definitions import Limit, LimitKind
from grebedyke.rate_limits.lease_terms import LeaseTerms
from grebedyke.rate_limits.request_limiter import RequestLimiter
from grebedyke.wire import peer_codec
from grebedyke.wire.executors import Line

LATE, PAST = 0.1, 0.16
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
RETURNED = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
WAIT = 20_000  # plenty, also for a machine that is busy
OPERATION = {
    **TERMS["operations"][0],
    "idempotency": "safe",
    "latencyObjectiveMs": WAIT,
    "clientTimeoutMs": WAIT,
}
LIMITS = {**TERMS["limits"], "maxForwards": 60}
MANY = 100


class Recorder:
    """One address behind any number of executors' names; `came`: the ids of the forwards that reached it."""

    def __init__(self):
        self.came, self.answer, self.deletes, self.may_end = [], lambda id: ACCEPTED, [], threading.Event()
        self.may_end.set()
        self.server = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def rows(self, number, **more):
        return [{**ROW, "name": f"s-{i}", "address": self.address, **more} for i in range(1, number + 1)]

    def accept(self):
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.talk, args=(sock,), daemon=True).start()

    def talk(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        with sock:
            try:
                while data or (data := sock.recv(65_536)):
                    data = self.one(sock, data)
            except OSError:
                pass

    def one(self, sock, data):
        while b"\r\n\r\n" not in data:
            data += self.more(sock)
        head, _, data = data.partition(b"\r\n\r\n")
        line, *rows = head.split(b"\r\n")
        said = dict(row.lower().split(b": ", 1) for row in rows)
        length = int(said.get(b"content-length", 0))
        if line.startswith(b"DELETE"):
            self.deletes.append(line.split()[1].rpartition(b"/")[2])
            self.may_end.wait(20)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        else:
            self.came.append(said[b"x-request-id"])
            while len(data) < length:
                data += self.more(sock)
            answer = self.answer(said[b"x-request-id"])
            if answer is None:
                raise OSError("its connection ends without an answer")
            sock.sendall(answer)
        return data[length:]

    @staticmethod
    def more(sock):
        data = sock.recv(65_536)
        if not data:
            raise OSError("ended in a message")
        return data


class Scene:
    """A place with its executors; `gone`: id and the moment at which its client had closed."""

    def __init__(self, executors=1, gated=False, limits=(), **more):
        self.recorder, self.gone = Recorder(), {}
        rows = self.recorder.rows(executors)
        self.place = Place(
            *rows,
            gate=[self.recorder.address] if gated else (),
            operations=[OPERATION],
            limits={**LIMITS, **dict(limits)},
            **more,
        )

    async def __aenter__(self):
        await self.place.__aenter__()
        flush, self.wrote = Line.flush, []

        def noted(line):
            if line.out.used and line.call and line.call.forwards:
                id = line.call.head.partition(b"X-Request-ID: ")[2].split()[0]
                self.wrote.append((id, time.monotonic()))
            flush(line)

        Line.flush, self.flush = noted, flush
        self.dispatcher, self.owed = self.place.desk.dispatcher, self.place.desk.owed
        return self

    async def __aexit__(self, kind, *more):
        self.recorder.may_end.set()
        try:
            return await self.place.__aexit__(kind, *more)
        finally:
            Line.flush = self.flush
            self.recorder.server.close()

    def clients(self, number, first=1):
        ids = [b"r%d" % i for i in range(first, first + number)]
        return {id: Client(self.place.address) for id in ids}

    def hand_in(self, clients, body=b"abc"):
        for id, client in clients.items():
            client.hand_in(id.decode(), WAIT, body=body)

    def leave(self, clients):
        """Every second one by a reset."""
        for id, client in clients.items():
            client.leave(reset=len(self.gone) % 2 > 0)
            self.gone[id] = time.monotonic()

    async def past(self, more=0.0):
        """Long enough after the last close that what begins from here on is a break."""
        end = max(self.gone.values()) + PAST + more
        await until(lambda: time.monotonic() > end)

    def held(self):
        return [inv.id for inv in self.dispatcher.queue.waiting if inv.queued]

    async def ends(self, id, state="done"):
        """Call-backs for whatever is out of this one."""
        if id in self.owed:
            for flight in [f for f in self.owed[id].flights if not f.done]:
                await self.place.tell(state, id.decode(), flight.endpoint.name)

    def no_stall(self):
        """As in a busy loop, which marks in every pass: how long a close has lain there does not show."""
        for _ in range(3):
            self.place.turn.mark()

    async def another(self, id=b"z1"):
        """The node goes on; whatever was held before it has had its chance as well."""
        client = Client(self.place.address).hand_in(id.decode(), WAIT)
        answer = asyncio.create_task(client.answer())
        while not answer.done():  # a forward that is given up meanwhile is followed by another
            await until(lambda: answer.done() or id in self.recorder.came, "another's forward")
            await self.ends(id)
            await asyncio.sleep(0.01)
        assert b" 200 " in await answer
        client.leave()

    async def finish(self):
        """What began in time ends by its executor, so that nothing is left over."""
        await self.another()
        for id in list(self.owed):
            await self.ends(id)
        return self.breaks()

    def breaks(self):
        """By when the node wrote it: an executor's thread may look later."""
        return [
            (id, round(at - self.gone[id], 3))
            for id, at in self.wrote
            if id in self.gone and at > self.gone[id] + LATE and id in self.recorder.came
        ]


async def connects(number):
    async with Scene(number, gated=True) as scene:
        clients = scene.clients(number)
        scene.hand_in(clients)
        await until(lambda: scene.place.gate.up == number, "the connects")
        scene.leave(clients)
        await scene.past()
        scene.place.gate.open.set()
        return await scene.finish()


async def is_held(number):
    """For want of credit: the one executor has work."""
    async with Scene() as scene:
        first, clients = scene.clients(1, 0), scene.clients(number)
        for e in scene.dispatcher.endpoints.by_id.values():
            e.credit = 1.0
        scene.hand_in(first)
        await until(lambda: b"r0" in scene.recorder.came, "the work")
        scene.hand_in(clients)
        await until(lambda: len(scene.held()) == number, "that they are held")
        scene.leave(clients)
        await scene.past()
        await scene.ends(b"r0")
        first[b"r0"].leave()
        return await scene.finish()


async def waits_for_a_lender(number):
    async with Scene(number, limits={"peerMessages": True}, balancers=2) as scene:
        asks, fleet = {}, scene.dispatcher.endpoints

        def keep_asks(to, body):
            message = peer_codec.decode(body)
            if isinstance(message, SlotRequest):
                asks[message.number] = message

        scene.place.desk.peers.send = keep_asks
        fleet.coordinators.node_for = lambda group, now: 1
        clients = scene.clients(number)
        scene.hand_in(clients)
        await until(lambda: len(asks) == number and len(scene.held()) == number, "the asks")
        scene.leave(clients)
        await scene.past()
        for number, ask in asks.items():
            scene.place.turn.put(scene.place.desk.heard, 1, peer_codec.encode(SlotGrant(number, ask.rank)))
        await until(lambda: not scene.place.turn.inbox)
        fleet.coordinators.node_for = lambda group, now: 0
        return await scene.finish()


def further(answer, connect=5000):
    """Held after a first forward that ended in a way which allows another."""

    async def scene_of(number):
        async with Scene(max(number, 2), limits={"connectTimeoutMs": connect}) as scene:
            scene.recorder.answer = lambda id: answer
            clients, executors = scene.clients(number), scene.dispatcher.endpoints.by_id.values()
            scene.hand_in(clients)
            owed = scene.owed
            await until(
                lambda: len(owed) == number and all(one.flights for one in owed.values()),
                "the first forwards",
            )
            for e in executors:
                e.ejected_until = 1 << 60
            await until(
                lambda: len([i for i in scene.dispatcher.queue.waiting if i.queued and i.attempts]) == number,
                "that they are held again",
            )
            scene.recorder.answer = lambda id: ACCEPTED
            scene.leave(clients)
            await scene.past()
            for e in executors:
                e.ejected_until = 0
                e.rejected_until.clear()
            return await scene.finish()

    return scene_of


async def further_connects(number):
    """Its further forward waits for a connection: the first was turned away."""
    async with Scene(2 * number) as scene:
        # Each forward needs a connection: so many come up and are turned away, the others wait.
        scene.recorder.answer = lambda id: RETURNED[:-2] + b"Connection: close\r\n\r\n"
        loop, opened, begun, up = asyncio.get_running_loop(), asyncio.Event(), [], []
        real = loop.create_connection

        async def connect(make, *where, **more):
            begun.append(where)
            waits = len(begun) > number
            made = await real(make, *where, **more)
            if waits:
                up.append(made)
                try:
                    await opened.wait()
                except asyncio.CancelledError:
                    made[0].abort()  # as asyncio does with a connect that is cancelled
                    raise
            return made

        loop.create_connection = connect
        clients = scene.clients(number)
        scene.hand_in(clients)
        await until(lambda: len(up) >= number, "the further connects")
        assert any(len(owed.flights) > 1 for owed in scene.owed.values())
        scene.recorder.answer = lambda id: ACCEPTED
        scene.leave(clients)
        await scene.past()
        opened.set()
        result = await scene.finish()
        del loop.create_connection
        return result


CUTS = {"limits": {"mayCancel": True}, "familyInfo": {"tellsStart": True}}


def cut(during):
    async def scene_of(number):
        async with Scene(2 * number + 2, **CUTS) as scene:
            d, recorder = scene.dispatcher, scene.recorder
            d.cutoffs.in_force, d.cutoffs.slots_freed, d.cutoffs.next_fit = [500], 9, 1 << 60
            d.endpoints.assign_tiers(0.5)
            recorder.may_end.clear()
            clients = scene.clients(number)
            scene.hand_in(clients)
            await until(lambda: len(recorder.came) == number, "the forwards")
            for id in clients:
                await scene.ends(id, "started")
            await until(lambda: len(recorder.deletes) == number, "the cuts")
            if during == "held":
                for e in d.endpoints.by_id.values():
                    e.ejected_until = scene.place.turn.clock() + 4_000
                recorder.may_end.set()
                await until(
                    lambda: sum(bool(i.queued and i.tier) for i in d.queue.waiting) == number, "tier one"
                )
            scene.leave(clients)
            await scene.past()
            recorder.may_end.set()
            d.cutoffs.in_force = None
            return await scene.finish()

    return scene_of


async def waits_for_a_slot(number):
    """What is over a limit is answered at once and never held: a place that this program does not have."""
    async with Scene(2) as scene:
        limit = Limit("l", LimitKind.CONCURRENCY, size=1)
        terms = LeaseTerms(node_count=1, lease=1_000_000, clock_drift=0.02, run_on=500)
        limiter = RequestLimiter([limit], terms, scene.place.turn.clock())
        limiter.meters[limit.wire_id].receive_share(scene.place.turn.clock(), 1, 1 << 60)
        scene.dispatcher.quotas.limits = limiter
        first, clients = scene.clients(1, 0), scene.clients(number)
        scene.hand_in(first)
        await until(lambda: b"r0" in scene.recorder.came)
        scene.hand_in(clients)
        await until(lambda: scene.place.turn.gauges.counts["throttled"] == number, "the answers")
        assert not scene.held()
        scene.leave(clients)
        await scene.past()
        await scene.ends(b"r0")
        first[b"r0"].leave()
        await until(lambda: not limiter.acquired_slots)
        return await scene.finish()


def stall(kept, behind=b""):
    """They come and go while the loop stands still."""

    async def scene_of(number):
        async with Scene(number) as scene:
            await scene.another(b"z0")
            clients = scene.clients(number if kept else 0)
            await until(lambda: len(scene.place.door.clients) >= len(clients), "the connections")
            clients = clients or scene.clients(number)
            scene.hand_in(clients)
            for client in clients.values():
                client.socket.sendall(behind)
            scene.leave(clients)
            time.sleep(0.3)  # the stall itself
            return await scene.finish()

    return scene_of


async def stall_while_it_connects(number):
    """The close and the connection's coming up lie in the kernel when the loop goes on."""
    async with Scene(number) as scene:
        loop, real, up = asyncio.get_running_loop(), None, []
        real, clients = loop.create_connection, scene.clients(number)

        async def connect(*what, **more):
            up.append(1)
            if len(up) == number:
                scene.leave(clients)
                time.sleep(0.3)  # the stall itself
            return await real(*what, **more)

        loop.create_connection = connect
        scene.hand_in(clients)
        await until(lambda: len(scene.gone) == number, "the last connect")
        del loop.create_connection
        return await scene.finish()


async def backlog(number):
    """Not accepted for a while, as where descriptors are short: read and seen to leave only then."""
    async with Scene(number) as scene:
        await scene.another(b"z0")
        loop, door = asyncio.get_running_loop(), scene.place.door
        loop.remove_reader(door.server)
        clients = scene.clients(number)
        scene.hand_in(clients)
        scene.leave(clients)
        await scene.past()
        assert not scene.place.turn.gauges.counts["taken"] - 1
        scene.no_stall()
        loop.add_reader(door.server, door.accept)
        return await scene.finish()


def long_turns(*lengths):
    """A turn of such a length, and of the next as well; the clients leave when the last of them begins."""

    async def scene_of(number):
        async with Scene(number + 3) as scene:
            await scene.another(b"z0")
            desk, clients, others, turns = scene.place.desk, scene.clients(number), [], list(lengths)
            forward = desk.carriers[Forward]

            def slow(now, *what):
                forward(now, *what)
                if what[0] in (b"r%d" % number, b"y1", b"y2") and turns:
                    length = turns.pop(0)
                    if not turns:
                        scene.leave(clients)
                    time.sleep(length)
                    if turns:
                        others.append(Client(scene.place.address).hand_in("y%d" % (len(others) + 1)))

            desk.carriers[Forward] = slow
            await until(lambda: len(scene.place.door.clients) >= number)
            scene.hand_in(clients)
            await until(lambda: not turns, "the turns")
            for i, other in enumerate(others, 1):
                await until(lambda: b"y%d" % i in scene.recorder.came, "theirs")
                await scene.ends(b"y%d" % i)
                assert b" 200 " in await other.answer()
                other.leave()
            return await scene.finish()

    return scene_of


async def two_halves(number):
    """A pass of the loop of 70 ms, then a turn of 70 ms: neither is a stall, together they are too long."""
    number = min(number, 2)  # who hands a hundred in makes a stall of that
    async with Scene(number) as scene:
        await scene.another(b"z0")
        desk, clients, done = scene.place.desk, scene.clients(number), []
        forward = desk.carriers[Forward]

        def slow(now, *what):
            forward(now, *what)
            if not done:
                done.append(what)
                time.sleep(0.07)

        desk.carriers[Forward] = slow
        await until(lambda: len(scene.place.door.clients) >= number)
        scene.no_stall()
        scene.hand_in(clients)
        scene.leave(clients)
        time.sleep(0.07)
        await until(lambda: done or scene.place.turn.gauges.counts["left"] >= number)
        return await scene.finish()


def behind(size):
    """It has written on behind its invocation, as much as the kernel takes, and closed."""

    async def scene_of(number):
        number = min(number, 4)
        async with Scene(number, gated=True) as scene:
            clients, threads = scene.clients(number), []
            scene.hand_in(clients)
            await until(lambda: scene.place.gate.up == number, "the connects")

            def write(id, client):
                client.socket.sendall(b"x" * size)
                scene.leave({id: client})

            for pair in clients.items():
                threads.append(threading.Thread(target=write, args=pair))
                threads[-1].start()
            await until(lambda: not any(thread.is_alive() for thread in threads), "what they write")
            await scene.past(-PAST + LATE)
            scene.place.gate.open.set()
            return await scene.finish()

    return scene_of


PLACES = {
    "connects": connects,
    "is held": is_held,
    "waits for a lender": waits_for_a_lender,
    "never ran": further(RETURNED),
    "reset": further(None),
    "silent": further(b"", 300),
    "further connects": further_connects,
    "being cut": cut("delete"),
    "cut, held": cut("held"),
    "waits for a slot": waits_for_a_slot,
    "stall, kept": stall(True),
    "stall, new": stall(False),
    "stall, more behind": stall(True, b"x" * 100_000),
    "stall, new, more behind": stall(False, b"x" * 100_000),
    "stall while it connects": stall_while_it_connects,
    "backlog": backlog,
    "long turn": long_turns(0.3),
    "two long turns": long_turns(0.3, 0.3),
    "two halves": two_halves,
    "0.1 MB behind": behind(100_000),
    "3 MB behind": behind(3_000_000),
}


@pytest.mark.parametrize("where", PLACES)
def test_no_forward_begins_after_its_client_has_gone(where):
    assert asyncio.run(PLACES[where](MANY)) == []


# Bytes that arrive in the very moment in which the node ends or closes a connection.


def test_small_writes_are_held_back_on_no_kind_of_connection():
    async def story():
        executor = await Executor().start()
        async with Place(executor.row()) as place:
            await place.serves_another(executor)
            client = Client(place.address).hand_in("r3")
            await until(lambda: b"r3" in executor.seen, "the forward")
            held = {
                type(one).__name__: one.transport.get_extra_info("socket").getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY
                )
                for one in (*place.door.clients, *place.pool.lines)
            }
            await place.ended(client, "r3")
        executor.server.close()
        return held

    held = asyncio.run(story())
    assert set(held) == {"Client", "Line"} and all(held.values()), held


@pytest.mark.parametrize("ends", ("close", "shutdown"))
def test_a_last_answer_is_whole_and_what_comes_with_its_end_is_not_taken(ends):
    # The client writes on when the second of two answers goes: the close is one over unread bytes.
    async def story():
        executor = await Executor().start()
        async with Place(executor.row()) as place:
            client = Client(place.address)
            head = Client.head("r1", 3)
            if ends == "close":
                head = head[:-2] + b"Connection: close\r\n\r\n"
            client.socket.sendall(b"GET /up HTTP/1.1\r\n\r\n" + head + b"abc")
            await until(lambda: executor.seen, "the forward")
            inside = next(one for one in place.door.clients if one.owed)
            if ends == "shutdown":
                client.socket.sendall(b"x" * 9_000)
                await until(lambda: inside.spilt, "what stands behind")
            flush, crossed = inside.flush, []

            def crossing():
                if inside.last and not crossed:
                    crossed.append(client.socket.sendall(Client.head("r2", 3) + b"abc"))
                flush()

            inside.flush = crossing
            await place.tell("done", more=',"result":"all of it"')
            data = b""
            while b"all of it" not in data and (part := await client.answer()):
                data += part
            client.leave()
            await place.settled()
            assert crossed
        executor.server.close()
        return data, executor.seen

    data, seen = asyncio.run(story())
    assert data.endswith(b"all of it") and seen == [b"r1"]


def test_what_crosses_the_close_of_a_resting_connection_is_not_taken():
    async def story():
        executor = await Executor().start()
        async with Place(executor.row()) as place:
            client = Client(place.address).hand_in("r1")
            await until(lambda: executor.seen, "the forward")
            await place.tell("done")
            assert b" 200 " in await client.answer()
            client.socket.setblocking(True)
            client.hand_in("r2")  # with the kernel, and not read
            place.door.wind_up()
            await until(lambda: not place.door.clients, "the close")
            client.leave()
        executor.server.close()
        return executor.seen

    assert asyncio.run(story()) == [b"r1"]


@pytest.mark.parametrize("part", (b"HTTP/1.1 2", b"\r", b"HTTP/1.1 202 Accepted\r\nContent-Le"))
def test_half_a_line_on_a_resting_connection_is_not_taken_for_the_next_answers_begin(part):
    async def story():
        executor = await Executor().start()
        async with Place(executor.row()) as place:
            await place.serves_another(executor, "r1")
            await until(lambda: place.endpoint().idle, "a line at rest")
            line = place.endpoint().idle[0]
            executor.lines[0].write(part)
            await until(lambda: line.ring.used or line.transport.is_closing(), "half a line")
            await place.serves_another(executor)
        executor.server.close()
        return executor.seen

    assert asyncio.run(story()) == [b"r1", b"r2"]


@pytest.mark.parametrize("half", (False, True))
def test_of_what_was_sent_at_once_nothing_is_taken_after_the_clients_end(half):
    # A client that only ends its own side has left as well: TCP does not tell the two apart.
    async def story():
        async with Scene() as scene:
            client = scene.clients(1)[b"r1"]
            client.socket.sendall(b"".join(Client.head(id, 3) + b"abc" for id in ("r1", "r2", "r3")))
            await until(lambda: b"r1" in scene.recorder.came, "the first forward")
            for e in scene.dispatcher.endpoints.by_id.values():
                e.ejected_until = 1 << 60
            await scene.ends(b"r1")
            await until(lambda: scene.held() == [b"r2"], "that the second is held")
            first = await client.answer()
            if half:
                client.socket.shutdown(socket.SHUT_WR)
                assert await client.answer() == b""
            client.leave()
            await until(lambda: not scene.owed, "that the client has left")
            for e in scene.dispatcher.endpoints.by_id.values():
                e.ejected_until = 0
            await scene.another()
            return first, scene.recorder.came

    first, came = asyncio.run(story())
    assert b" 200 " in first and came == [b"r1", b"z1"]
