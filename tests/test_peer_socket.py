"""The socket for datagrams of other nodes."""

import asyncio
import socket

from emulators import until
from socketless_node import NOW, FakeEventLoop, frozen_batches

from grebedyke.emulators.ports import free_port
from grebedyke.wire.peer_socket import PeerSocket

# Seconds in which what must not come would come.
SHORT_WAIT = 0.05


def test_datagrams_come_from_named_nodes_only_and_may_be_malformed():
    async def play():
        loop = asyncio.get_running_loop()
        received = []
        batch = frozen_batches(FakeEventLoop())
        batch.enqueue = lambda call, *arguments: call(NOW, *arguments)
        nodes = [PeerSocket(loop, batch, lambda now, *message: received.append(message)) for _ in range(3)]
        addresses = [("127.0.0.1", free_port()) for _ in nodes]
        for number, peers in enumerate(nodes):
            # The first two do not know the third.
            peers.set_peers(addresses[:2] if number < 2 else addresses, number)
            await peers.open_task
        for sender, receiver, body in (
            (1, 0, b"x" * 257),
            (2, 0, b"stranger"),
            (1, 0, b"word"),
            (1, 7, b"none"),
        ):
            nodes[sender].send(receiver, body)
        nodes[1].set_peers([], 0)
        nodes[1].send(0, b"closed")
        await until(lambda: received, "the datagram of the named node")
        await asyncio.sleep(SHORT_WAIT)
        nodes[0].close()
        nodes[2].close()
        return received

    assert asyncio.run(play()) == [(1, b"word")]


def test_an_address_that_another_process_holds_is_tried_until_it_is_free():
    """A process takes over while the old one still has the address.

    Its one try came a moment too early, and it was deaf to the other nodes for good.
    """

    async def play(moves):
        loop = asyncio.get_running_loop()
        port = free_port()
        holder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        holder.bind(("127.0.0.1", port))
        peers = PeerSocket(loop, frozen_batches(FakeEventLoop()), None)
        if moves:
            peers.set_peers([("127.0.0.1", free_port())], 0)  # is still being opened when it moves on
        peers.set_peers([("127.0.0.1", port)], 0)
        await until(lambda: peers.failing, "the first try")
        assert not peers.transport
        holder.close()
        await until(lambda: peers.transport, "a try after the address is free")
        own_port = peers.transport and peers.transport.get_extra_info("sockname")[1]
        peers.close()
        return own_port == port

    assert all(asyncio.run(play(moves)) for moves in (False, True))
