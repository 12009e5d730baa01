"""Clients that left: no attempt, first or retry, may start more than 0.1 s after its client's close.

Each scene makes requests wait in one processing step, closes all their clients together, and returns the
attempts that the node writes too late and that reach an executor.
"""

import asyncio
import threading
import time

import pytest
from departure_scene import GRACE, PAST_GRACE, DepartureScene
from emulators import ACCEPTED, BlockingClient, until

from grebedyke.model.actions import Forward
from grebedyke.model.peer_messages import SlotGrant, SlotRequest
from grebedyke.rate_limits.definitions import Limit, LimitKind
from grebedyke.rate_limits.lease_terms import LeaseTerms
from grebedyke.rate_limits.request_limiter import RequestLimiter
from grebedyke.wire import peer_codec

REJECTED = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
REJECTED_AND_CLOSED = REJECTED[:-2] + b"Connection: close\r\n\r\n"
CLIENTS = 100


async def connecting(count):
    """The requests wait for connects to their executors."""
    async with DepartureScene(count, gated=True) as scene:
        clients = scene.clients(count)
        scene.send_requests(clients)
        await until(lambda: scene.harness.gate.waiting == count, "the connects")
        scene.leave(clients)
        await scene.until_past_grace()
        scene.harness.gate.opened.set()
        return await scene.finish()


async def queued(count):
    """The requests wait for concurrency credit, as the only executor is occupied."""
    async with DepartureScene() as scene:
        first = scene.clients(1, 0)
        clients = scene.clients(count)
        for endpoint in scene.endpoints():
            endpoint.credit = 1.0
        scene.send_requests(first)
        await until(lambda: b"r0" in scene.recorder.received, "the first attempt")
        scene.send_requests(clients)
        await until(lambda: len(scene.queued()) == count, "the queued requests")
        scene.leave(clients)
        await scene.until_past_grace()
        await scene.finish_request(b"r0")
        first[b"r0"].leave()
        return await scene.finish()


async def waiting_for_a_slot_grant(count):
    """The requests wait for another node's answer to their slot requests."""
    async with DepartureScene(count, limits={"peerMessages": True}, balancers=2) as scene:
        slot_requests = {}
        host = scene.harness.host
        coordinators = scene.dispatcher.endpoints.coordinators

        def record_slot_request(receiver, body):
            message = peer_codec.decode(body)
            if isinstance(message, SlotRequest):
                slot_requests[message.number] = message

        host.peer_messenger.socket.send = record_slot_request
        coordinators.node_for = lambda group, now: 1
        clients = scene.clients(count)
        scene.send_requests(clients)
        await until(lambda: len(slot_requests) == count and len(scene.queued()) == count, "the slot requests")
        scene.leave(clients)
        await scene.until_past_grace()
        for number, slot_request in slot_requests.items():
            grant = peer_codec.encode(SlotGrant(number, slot_request.rank))
            scene.harness.batch.enqueue(host.peer_messenger.on_datagram, 1, grant)
        await until(lambda: not scene.harness.batch.events)
        coordinators.node_for = lambda group, now: 0
        return await scene.finish()


def queued_for_a_retry(response, connect_timeout_ms=5000):
    """Returns a scene of requests that are queued after a first attempt that allows a retry."""

    async def run_scene(count):
        limits = {"connectTimeoutMs": connect_timeout_ms}
        async with DepartureScene(max(count, 2), limits=limits) as scene:
            scene.recorder.respond = lambda request_id: response
            clients = scene.clients(count)
            scene.send_requests(clients)
            open_requests = scene.open_requests
            await until(
                lambda: len(open_requests) == count and all(one.attempts for one in open_requests.values()),
                "the first attempts",
            )
            scene.eject_all()
            await until(
                lambda: len([request for request in scene.queued() if request.attempts]) == count,
                "the requests queued again",
            )
            scene.recorder.respond = lambda request_id: ACCEPTED
            scene.leave(clients)
            await scene.until_past_grace()
            scene.readmit_all()
            for endpoint in scene.endpoints():
                endpoint.rejected_until.clear()
            return await scene.finish()

    return run_scene


def hold_connects_after(loop, count):
    """Delays connects after the first `count`; returns the delayed ones and the event that releases them."""
    create_connection = loop.create_connection
    opened = asyncio.Event()
    begun = []
    held = []

    async def connect(factory, *address, **more):
        begun.append(address)
        is_held = len(begun) > count
        transport, protocol = await create_connection(factory, *address, **more)
        if is_held:
            held.append(protocol)
            try:
                await opened.wait()
            except asyncio.CancelledError:
                transport.abort()  # as asyncio does when a connect is cancelled
                raise
        return transport, protocol

    loop.create_connection = connect
    return held, opened


async def connecting_for_a_retry(count):
    """The requests were rejected once, and wait for connects for a retry."""
    async with DepartureScene(2 * count) as scene:
        # Each attempt needs a connection: `count` of them are established and rejected, the others wait.
        scene.recorder.respond = lambda request_id: REJECTED_AND_CLOSED
        loop = asyncio.get_running_loop()
        held, opened = hold_connects_after(loop, count)
        clients = scene.clients(count)
        scene.send_requests(clients)
        await until(lambda: len(held) >= count, "the connects for retries")
        assert any(len(each.attempts) > 1 for each in scene.open_requests.values())
        scene.recorder.respond = lambda request_id: ACCEPTED
        scene.leave(clients)
        await scene.until_past_grace()
        opened.set()
        result = await scene.finish()
        del loop.create_connection
        return result


CUTOFF_SETTINGS = {"limits": {"mayCancel": True}, "familyInfo": {"tellsStart": True}}


def reaching_the_cutoff(step):
    """Returns a scene of requests at their tier's cutoff: being cancelled, or queued one tier up."""

    async def run_scene(count):
        async with DepartureScene(2 * count + 2, **CUTOFF_SETTINGS) as scene:
            recorder = scene.recorder
            cutoffs = scene.dispatcher.cutoffs
            cutoffs.in_force = [500]
            cutoffs.slots_freed = 9
            cutoffs.next_fit = 1 << 60
            scene.dispatcher.endpoints.assign_tiers(0.5)
            recorder.may_confirm.clear()
            clients = scene.clients(count)
            scene.send_requests(clients)
            await until(lambda: len(recorder.received) == count, "the attempts")
            for request_id in clients:
                await scene.finish_request(request_id, "started")
            await until(lambda: len(recorder.deletes) == count, "the cancels")
            if step == "queued":
                for endpoint in scene.endpoints():
                    endpoint.ejected_until = scene.harness.batch.clock() + 4_000
                recorder.may_confirm.set()
                await until(
                    lambda: len([request for request in scene.queued() if request.tier]) == count,
                    "the requests queued in tier one",
                )
            scene.leave(clients)
            await scene.until_past_grace()
            recorder.may_confirm.set()
            cutoffs.in_force = None
            return await scene.finish()

    return run_scene


async def over_a_limit(count):
    """The requests exceed a limit; they are answered immediately, since the node does not queue them."""
    async with DepartureScene(2) as scene:
        clock = scene.harness.batch.clock
        limit = Limit("l", LimitKind.CONCURRENCY, size=1)
        terms = LeaseTerms(node_count=1, lease=1_000_000, clock_drift=0.02, run_on=500)
        limiter = RequestLimiter([limit], terms, clock())
        limiter.meters[limit.wire_id].receive_share(clock(), 1, 1 << 60)
        scene.dispatcher.quotas.request_limiter = limiter
        first = scene.clients(1, 0)
        clients = scene.clients(count)
        scene.send_requests(first)
        await until(lambda: b"r0" in scene.recorder.received)
        scene.send_requests(clients)
        await until(lambda: scene.harness.batch.metrics.counts["throttled"] == count, "the responses")
        assert not scene.queued()
        scene.leave(clients)
        await scene.until_past_grace()
        await scene.finish_request(b"r0")
        first[b"r0"].leave()
        await until(lambda: not limiter.acquired_slots)
        return await scene.finish()


def sent_during_a_stall(kept, pipelined_data=b""):
    """Returns a scene of clients that send requests and leave while the event loop is stalled.

    Args:
        kept: Whether their connections are established before the stall.
        pipelined_data: Data that they send after their requests.
    """

    async def run_scene(count):
        async with DepartureScene(count) as scene:
            await scene.assert_serves_another_request(b"z0")
            clients = scene.clients(count if kept else 0)
            accepted = scene.harness.listener.connections.accepted
            await until(lambda: len(accepted) >= len(clients), "the connections")
            clients = clients or scene.clients(count)
            scene.send_requests(clients)
            for client in clients.values():
                client.socket.sendall(pipelined_data)
            scene.leave(clients)
            time.sleep(0.3)  # the stall
            return await scene.finish()

    return run_scene


async def connected_during_a_stall(count):
    """The client's close and the completed connect are both in the kernel when the event loop resumes."""
    async with DepartureScene(count) as scene:
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        clients = scene.clients(count)
        begun = []

        async def connect(*what, **more):
            begun.append(1)
            if len(begun) == count:
                scene.leave(clients)
                time.sleep(0.3)  # the stall
            return await create_connection(*what, **more)

        loop.create_connection = connect
        scene.send_requests(clients)
        await until(lambda: len(scene.left_at) == count, "the last connect")
        del loop.create_connection
        return await scene.finish()


async def in_accept_queue(count):
    """Connections wait in the accept queue, as when descriptors are short, and are read only later."""
    async with DepartureScene(count) as scene:
        await scene.assert_serves_another_request(b"z0")
        loop = asyncio.get_running_loop()
        listener = scene.harness.listener
        loop.remove_reader(listener.acceptor.server)
        clients = scene.clients(count)
        scene.send_requests(clients)
        scene.leave(clients)
        await scene.until_past_grace()
        assert not scene.harness.batch.metrics.counts["taken"] - 1
        scene.suppress_stall_detection()
        loop.add_reader(listener.acceptor.server, listener.acceptor.accept)
        return await scene.finish()


def in_long_batches(*lengths):
    """Returns a scene of consecutive long batches; the clients leave at the start of the last one."""

    async def run_scene(count):
        async with DepartureScene(count + 3) as scene:
            await scene.assert_serves_another_request(b"z0")
            host = scene.harness.host
            forward = host.performers[Forward]
            clients = scene.clients(count)
            others = []
            lengths_left = list(lengths)

            def forward_slowly(now, *what):
                forward(now, *what)
                if what[0] in (b"r%d" % count, b"y1", b"y2") and lengths_left:
                    length = lengths_left.pop(0)
                    if not lengths_left:
                        scene.leave(clients)
                    time.sleep(length)
                    if lengths_left:
                        other = BlockingClient(scene.harness.address)
                        others.append(other.send_request("y%d" % (len(others) + 1)))

            host.performers[Forward] = forward_slowly
            await until(lambda: len(scene.harness.listener.connections.accepted) >= count)
            scene.send_requests(clients)
            await until(lambda: not lengths_left, "the batches")
            for number, other in enumerate(others, 1):
                await until(
                    lambda number=number: b"y%d" % number in scene.recorder.received,
                    "the attempt of the other client",
                )
                await scene.finish_request(b"y%d" % number)
                assert b" 200 " in await other.response()
                other.leave()
            return await scene.finish()

    return run_scene


async def in_long_pass_and_batch(count):
    """An event loop pass of 70 ms and a batch of 70 ms: neither alone is a stall, but the sum is too long."""
    count = min(count, 2)  # a hundred clients that send requests would cause a stall
    async with DepartureScene(count) as scene:
        await scene.assert_serves_another_request(b"z0")
        host = scene.harness.host
        forward = host.performers[Forward]
        clients = scene.clients(count)
        slowed = []

        def forward_slowly(now, *what):
            forward(now, *what)
            if not slowed:
                slowed.append(what)
                time.sleep(0.07)

        host.performers[Forward] = forward_slowly
        await until(lambda: len(scene.harness.listener.connections.accepted) >= count)
        scene.suppress_stall_detection()
        scene.send_requests(clients)
        scene.leave(clients)
        time.sleep(0.07)
        await until(lambda: slowed or scene.harness.batch.metrics.counts["left"] >= count)
        return await scene.finish()


def after_pipelined_data(size):
    """Returns a scene of clients that send more data after their requests and close."""

    async def run_scene(count):
        count = min(count, 4)
        async with DepartureScene(count, gated=True) as scene:
            clients = scene.clients(count)
            scene.send_requests(clients)
            await until(lambda: scene.harness.gate.waiting == count, "the connects")

            def write_and_leave(request_id, client):
                client.socket.sendall(b"x" * size)
                scene.leave({request_id: client})

            threads = [threading.Thread(target=write_and_leave, args=pair) for pair in clients.items()]
            for thread in threads:
                thread.start()
            await until(lambda: not any(thread.is_alive() for thread in threads), "the end of the writes")
            await scene.until_past_grace(-PAST_GRACE + GRACE)
            scene.harness.gate.opened.set()
            return await scene.finish()

    return run_scene


SCENES = {
    "connects": connecting,
    "queued": queued,
    "waits for a slot grant": waiting_for_a_slot_grant,
    "never ran": queued_for_a_retry(REJECTED),
    "reset": queued_for_a_retry(None),
    "silent": queued_for_a_retry(b"", 300),
    "connects for a retry": connecting_for_a_retry,
    "being cancelled": reaching_the_cutoff("cancelled"),
    "cancelled, queued": reaching_the_cutoff("queued"),
    "over a limit": over_a_limit,
    "stall, kept": sent_during_a_stall(True),
    "stall, new": sent_during_a_stall(False),
    "stall, more behind": sent_during_a_stall(True, b"x" * 100_000),
    "stall, new, more behind": sent_during_a_stall(False, b"x" * 100_000),
    "stall, kept, 1 MB behind": sent_during_a_stall(True, b"x" * 1_000_000),
    "stall, new, 1 MB behind": sent_during_a_stall(False, b"x" * 1_000_000),
    "stall while it connects": connected_during_a_stall,
    "backlog": in_accept_queue,
    "long batch": in_long_batches(0.3),
    "two long batches": in_long_batches(0.3, 0.3),
    "two halves": in_long_pass_and_batch,
    "0.1 MB behind": after_pipelined_data(100_000),
    "3 MB behind": after_pipelined_data(3_000_000),
}


@pytest.mark.parametrize("scene_name", SCENES)
def test_no_attempt_starts_after_its_client_has_left(scene_name):
    """All clients leave together while their requests wait in one processing step of the node.

    An attempt that starts afterwards may have an effect unknown to its client, so none may start more than
    0.1 s after the client's close.
    """
    assert asyncio.run(SCENES[scene_name](CLIENTS)) == []
