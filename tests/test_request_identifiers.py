"""A request identifier is accepted by one process of a node at a time, also during a hot restart."""

import asyncio
import random
from collections import Counter, deque

import pytest
from emulators import ACCEPTED, BlockingClient, ExecutorEmulator, until
from node_harness import OPERATION, NodeHarness
from test_takeover import record_requests, until_successor_serves

from grebedyke.model.identifier_memory import MAX_IDENTIFIERS, IdentifierMemory
from grebedyke.service.request_identifiers import IdentifierMessenger, Ownership, RequestIdentifiers

REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
STEPS = 4_000
# Steps for which an identifier stays in use after its request, if its job may have run.
RETENTION = 40
# Claims that each seed has to grant and to deny, so that it shows something.
MIN_DECISIONS = 10
SEEDS = range(20)
IDENTIFIERS = [b"a", b"b", b"c"]
# Handlers that get the time as their first argument.
TIMED_HANDLERS = {"on_ownership", "on_claim", "on_release"}


class InMemoryMessenger(IdentifierMessenger):
    """Queues messages for the predecessor and the successor, in order.

    Attributes:
        to_predecessor: Calls of the predecessor's handlers that are not delivered yet.
        to_successor: The same for the successor.
    """

    def __init__(self):
        self.to_predecessor = deque()
        self.to_successor = deque()

    def request_ownership(self):
        self.to_predecessor.append(("on_ownership_requested",))

    def give_ownership(self, open_ids, ended_ids):
        self.to_successor.append(("on_ownership", open_ids, ended_ids))

    def claim(self, request_id, number):
        self.to_successor.append(("on_claim", request_id, number))

    def decide(self, request_id, number, is_granted):
        self.to_predecessor.append(("on_decision", request_id, number, is_granted))

    def release(self, request_id, known_until):
        self.to_successor.append(("on_release", request_id, known_until))


class ProcessModel:
    """A process that accepts and ends requests at random.

    Attributes:
        open: Whether each registered request is accepted, by identifier.
        identifiers: Its `RequestIdentifiers`.
        messenger: Its `InMemoryMessenger`.
        chain: The `ProcessChain`.
    """

    def __init__(self, chain):
        self.chain = chain
        self.open = {}
        self.identifiers = RequestIdentifiers(self.open)
        self.messenger = self.identifiers.messenger = InMemoryMessenger()

    def accept(self, request_id):
        """Registers a request if its identifier is not known here."""
        if self.identifiers.is_known(self.chain.now, request_id):
            return
        self.open[request_id] = False
        self.identifiers.claim(request_id, lambda is_granted: self.decide(request_id, is_granted))

    def decide(self, request_id, is_granted):
        """Accepts or drops a registered request."""
        self.chain.decisions[is_granted] += 1
        if is_granted:
            self.open[request_id] = True
            self.chain.check_accepted(request_id)
        else:
            del self.open[request_id]

    def end(self, request_id, may_have_run):
        """Ends a request; its job may have run only if it was accepted."""
        was_accepted = self.open.pop(request_id, None)
        if was_accepted is None:
            return
        known_until = None
        if was_accepted and may_have_run:
            known_until = self.chain.now + RETENTION
            self.chain.ran[request_id] = (known_until, self)
        self.identifiers.release(self.chain.now, request_id, known_until)

    def accepted(self):
        """Returns the identifiers of accepted requests."""
        return {request_id for request_id, is_accepted in self.open.items() if is_accepted}


class ProcessChain:
    """Processes of one node, each the successor of the one before, and the messages between them.

    Attributes:
        random: The seeded random number generator.
        processes: The living processes, oldest first.
        accepted_twice: Identifiers that two processes have accepted at once.
        decisions: Counts the decisions of all processes, by whether they granted the claim.
        now: The number of steps so far.
        ran: By identifier that must not be accepted: until when, and the process that knows it.
        ran_twice: Identifiers that were accepted nevertheless.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.decisions = Counter()
        self.now = 0
        self.ran = {}
        self.ran_twice = set()
        self.processes = [ProcessModel(self)]
        self.accepted_twice = set()

    def step(self):
        """Does one thing at random and looks for identifiers that are accepted twice."""
        self.now += 1
        process = self.random.choice(self.processes)
        request_id = self.random.choice(IDENTIFIERS)
        kind = self.random.random()
        if kind < 0.3:
            process.accept(request_id)
        elif kind < 0.55:
            process.end(request_id, self.random.random() < 0.5)
        elif kind < 0.98:
            self.deliver()
        elif kind < 0.99:
            self.start_process()
        else:
            self.end_process()
        accepted = [one for each in self.processes for one in each.accepted()]
        self.accepted_twice |= {one for one in accepted if accepted.count(one) > 1}

    def deliver(self):
        """Delivers the oldest message between two random neighbours."""
        if len(self.processes) < 2:
            return
        index = self.random.randrange(len(self.processes) - 1)
        older, newer = self.processes[index : index + 2]
        if self.random.random() < 0.5:
            receiver, queue = newer, older.messenger.to_successor
        else:
            receiver, queue = older, newer.messenger.to_predecessor
        if queue:
            handler, *arguments = queue.popleft()
            call = getattr(receiver.identifiers, handler)
            call(self.now, *arguments) if handler in TIMED_HANDLERS else call(*arguments)

    def deliver_all(self):
        """Delivers all messages."""
        while any(each.messenger.to_successor or each.messenger.to_predecessor for each in self.processes):
            self.deliver()

    def start_process(self):
        """Starts a successor of the newest process."""
        if len(self.processes) < 3:
            successor = ProcessModel(self)
            successor.identifiers.request_ownership()
            self.processes.append(successor)

    def end_process(self):
        """Ends the oldest or the newest process, with its requests and the messages on their way."""
        if len(self.processes) < 2:
            return
        if self.random.random() < 0.5:
            ended = self.processes.pop(0)
            self.processes[0].messenger.to_predecessor.clear()
            ended.open.clear()
            if self.processes[0].identifiers.ownership is Ownership.REQUESTED:
                self.ran = {}  # it ended before it could tell what it knew
            self.processes[0].identifiers.on_predecessor_end(self.now, self.now + RETENTION)
        else:
            ended = self.processes.pop()
            self.processes[-1].messenger.to_successor.clear()
            ended.open.clear()
            if self.random.random() < 0.5:
                entries = ended.identifiers.memory.entries()
                self.processes[-1].identifiers.on_ended_identifiers(self.now, entries)
            else:
                self.forget_ended()  # killed
            self.processes[-1].identifiers.on_successor_end(self.now)

    def forget_ended(self):
        """Forgets which jobs ran in ended processes: perhaps only the one that was killed still knew."""
        self.ran = {each: entry for each, entry in self.ran.items() if entry[1] in self.processes}

    def check_accepted(self, request_id):
        """Records whether an accepted identifier should still have been in use."""
        known_until, _ = self.ran.get(request_id, (0, None))
        if known_until > self.now:
            self.ran_twice.add(request_id)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_identifier_is_accepted_by_two_processes_at_once(seed):
    """Processes of a hot restart accept the same identifier while messages are late or a process ends."""
    chain = ProcessChain(seed)
    for _ in range(STEPS):
        chain.step()
        assert not chain.accepted_twice and not chain.ran_twice
    chain.deliver_all()
    # Once all messages have arrived, nothing waits for a decision, and one process owns the identifiers.
    assert not any(each.identifiers.claims for each in chain.processes)
    assert [each.identifiers.ownership for each in chain.processes] == [
        Ownership.AT_SUCCESSOR for _ in chain.processes[1:]
    ] + [Ownership.OWN]
    # Nothing is held for requests that have ended.
    for process in chain.processes:
        for request_id in IDENTIFIERS:
            process.end(request_id, False)
    chain.deliver_all()
    assert not any(each.identifiers.held_by_predecessor for each in chain.processes)
    assert min(chain.decisions[True], chain.decisions[False]) > MIN_DECISIONS


class UpgradedNode:
    """Two processes of one node that serve at the same time, and an executor.

    Attributes:
        folder: The folder of the hot restart's socket.
        executor: The `ExecutorEmulator`.
        old: The predecessor's `NodeHarness`.
        new: The successor's `NodeHarness`.
    """

    def __init__(self, folder):
        self.folder = str(folder)

    async def __aenter__(self):
        self.executor = await ExecutorEmulator().start()
        self.old = NodeHarness(self.executor.row(), folder=self.folder)
        await self.old.__aenter__()
        self.new = NodeHarness(self.executor.row(), folder=self.folder, listen="%s:%d" % self.old.address)
        return self

    async def start_successor(self):
        """Starts the successor; from then on it accepts all new connections."""
        await self.new.__aenter__()
        await until_successor_serves(self.old)
        self.old.listener.acceptor.stop()

    def open_request(self, request_id):
        """Opens a connection and sends a request on it."""
        return BlockingClient(self.old.address).send_request(request_id)

    async def until_received(self, *request_ids):
        """Waits until the executor has received exactly these requests."""
        received = [request_id.encode() for request_id in request_ids]
        await until(lambda: self.executor.received == received, f"the attempts of {request_ids}")

    async def __aexit__(self, *error):
        # The successor first: the predecessor's end is part of its work.
        self.old.node.stop()
        await asyncio.wait_for(self.old.serving, 10)
        await self.new.__aexit__(*error)
        self.executor.server.close()


def test_identifier_that_is_open_in_the_predecessor_is_refused_by_the_successor(tmp_path):
    """During an upgrade, a client sends the identifier of another client's open request.

    Both were served, and the first client got 500 for work that was done (review, case 9).
    """

    async def scenario():
        async with UpgradedNode(tmp_path) as node:
            first = node.open_request("r1")
            await node.until_received("r1")
            await node.start_successor()
            second = node.open_request("r1")
            assert b" 409 " in await second.response()
            second.leave()
            # The call-back reaches the successor.
            await node.new.finish(first)
            # Its job has run at the predecessor, so it is not accepted again.
            third = node.open_request("r1")
            assert b" 409 " in await third.response()
            third.leave()
            await node.until_received("r1")

    asyncio.run(scenario())


def test_two_processes_that_get_one_identifier_at_once_accept_one(tmp_path):
    """Requests with one identifier are read by both processes in the same instant."""

    async def scenario():
        async with UpgradedNode(tmp_path) as node:
            at_old = BlockingClient(node.old.address)
            await until(lambda: node.old.listener.connections.accepted, "the connection at the predecessor")
            await node.start_successor()
            at_new = BlockingClient(node.old.address)
            await until(lambda: node.new.listener.connections.accepted, "the connection at the successor")
            at_old.send_request("r1")
            at_new.send_request("r1")
            await node.until_received("r1")
            assert b" 409 " in await at_old.response()
            await node.new.finish(at_new)
            at_old.leave()

    asyncio.run(scenario())


def test_predecessor_claims_identifiers_at_the_successor(tmp_path):
    """A client's connection is still at the predecessor when the successor accepts the same identifier."""

    async def scenario():
        async with UpgradedNode(tmp_path) as node:
            kept = BlockingClient(node.old.address)
            await until(lambda: node.old.listener.connections.accepted, "the connection at the predecessor")
            await node.start_successor()
            first = node.open_request("r1")
            await node.until_received("r1")
            kept.send_request("r1")
            assert b" 409 " in await kept.response()
            kept.send_request("r2")
            await node.until_received("r1", "r2")
            second = node.open_request("r2")
            assert b" 409 " in await second.response()
            second.leave()
            await node.new.finish(first)
            await node.new.finish(kept, "r2")

    asyncio.run(scenario())


def test_requests_wait_for_a_predecessor_that_does_not_say_what_it_holds(tmp_path, monkeypatch):
    """The predecessor stands still when its successor asks for its identifiers.

    The successor assumes that any identifier may be open there: it sends nothing until it knows.
    """
    monkeypatch.setattr("grebedyke.service.identifier_channel.OWNERSHIP_TIMEOUT_S", 0.05)

    async def scenario():
        async with UpgradedNode(tmp_path) as node:
            first = node.open_request("r1")
            await node.until_received("r1")
            held_back = []
            messenger = node.old.host.requests.identifiers.messenger
            give_ownership = messenger.give_ownership
            messenger.give_ownership = lambda *ids: held_back.append(ids)
            await node.start_successor()
            accepted = record_requests(node.new.listener)
            second = node.open_request("r1")
            third = node.open_request("r2")
            short = BlockingClient(node.old.address).send_request("r3", timeout_ms=100)
            await until(lambda: len(accepted) == 3, "the requests at the successor")
            assert b" 500 " in await short.response()
            assert node.executor.received == [b"r1"]
            await until(lambda: held_back, "the successor's question")
            give_ownership(*held_back[0])
            assert b" 409 " in await second.response()
            await node.until_received("r1", "r2")
            await node.new.finish(first)
            await node.new.finish(third, "r2")
            for client in (second, short):
                client.leave()

    asyncio.run(scenario())


@pytest.mark.parametrize("operation_changes", [{}, {"idempotency": "safe"}])
def test_identifier_of_a_client_that_left_runs_no_second_time(operation_changes):
    """A client sends a request, leaves, and sends it again after the job has run.

    The job ran twice, also of an operation that may never run twice.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        operations = [{**OPERATION, **operation_changes}]
        async with NodeHarness(executor.row(), operations=operations) as harness:
            first = BlockingClient(harness.address).send_request()
            await until(lambda: executor.received, "the attempt")
            first.leave()
            await until(lambda: not harness.host.requests.has_waiting_clients(), "the close")
            await harness.call_back("done")
            await harness.until_idle()
            again = BlockingClient(harness.address).send_request()
            assert b" 409 " in await again.response()
            again.leave()
        executor.server.close()
        return executor.received

    assert asyncio.run(scenario()) == [b"r1"]


def test_identifier_whose_job_never_ran_is_accepted_again():
    """A client whose request was refused, as its executor rejected it, sends the same identifier again."""

    async def scenario():
        executor = await ExecutorEmulator().start()
        executor.respond = lambda line, headers: REJECTED
        async with NodeHarness(executor.row()) as harness:
            first = BlockingClient(harness.address).send_request(timeout_ms=300)
            assert b" 503 " in await first.response()
            await harness.until_idle()
            received = len(executor.received)
            executor.respond = lambda line, headers: ACCEPTED
            harness.host.dispatcher.endpoints.by_id["s-1"].ejected_until = 0
            first.send_request()
            await until(lambda: len(executor.received) > received, "the second request's attempt")
            await harness.finish(first)
        executor.server.close()

    asyncio.run(scenario())


def test_memory_of_identifiers_is_bounded_under_ever_new_ones():
    """A client sends ever new identifiers at full speed, and all of their jobs may have run."""
    memory = IdentifierMemory()
    for number in range(2 * MAX_IDENTIFIERS):
        memory.remember(0, b"%d" % number, RETENTION)
        assert len(memory.known_until) <= MAX_IDENTIFIERS
    assert memory.knows(0, b"%d" % (2 * MAX_IDENTIFIERS - 1)) and not memory.knows(0, b"0")
    memory.remember(RETENTION, b"new", 2 * RETENTION)
    assert memory.entries() == [(b"new", 2 * RETENTION)]  # what has expired is gone


@pytest.mark.parametrize("executor", ["s-1", "s-2"])
def test_call_back_of_an_attempt_that_is_not_here_is_passed_on(executor):
    """A process has a request of a call-back's identifier, but no attempt at its executor."""

    async def scenario():
        emulator = await ExecutorEmulator().start()
        passed_on = []
        async with NodeHarness(emulator.row()) as harness:
            client = BlockingClient(harness.address).send_request()
            await until(lambda: emulator.received, "the attempt")
            harness.host.job_updates.pass_on = passed_on.append
            await harness.call_back("running", name=executor)
            await harness.finish(client)
        emulator.server.close()
        return [update.executor for update in passed_on]

    assert asyncio.run(scenario()) == ([] if executor == "s-1" else ["s-2"])
