"""The channel between two processes of a node holds a bounded number of bytes if one of them stands still."""

import asyncio
import socket

from emulators import until
from socketless_node import SocketlessNode, receive, request

from grebedyke.model.refusal import RefusalReason
from grebedyke.service.hot_restart import HotRestart
from grebedyke.service.message_kinds import MessageKind
from grebedyke.service.process_channel import CONGESTED_BYTES, ProcessChannel
from grebedyke.service.request_identifiers import IdentifierMessenger, Ownership

RESULT = "x" * 50_000
MESSAGE_COUNT = 3 * CONGESTED_BYTES // len(RESULT)


class StoppedProcess:
    """A successor that does not read, and the predecessor's side of the channel to it.

    Attributes:
        received: What the successor has read, once `go_on` was called.
        hot_restart: The predecessor's `HotRestart`.
        channel: Its `ProcessChannel` to the successor.
    """

    def __init__(self):
        loop = asyncio.get_running_loop()
        near, self._far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.received = []
        self.hot_restart = HotRestart(loop, None, None, "n1", None, {}, None)
        self.channel = ProcessChannel(loop, near, None, lambda channel: None)
        self.hot_restart.successor = self.channel

    def go_on(self):
        """Lets the successor read."""
        ProcessChannel(
            asyncio.get_running_loop(),
            self._far,
            lambda channel, message, descriptors: self.received.append(message),
            lambda channel: None,
        )


# Guards against: call-backs that were passed on to a process that stands still filled the memory.
def test_call_backs_for_a_process_that_stands_still_are_dropped_beyond_a_bound():
    async def scenario():
        stopped = StoppedProcess()
        dropped = [
            stopped.hot_restart.send_unless_congested(MessageKind.JOB_UPDATE, number=number, result=RESULT)
            for number in range(MESSAGE_COUNT)
        ]
        assert stopped.channel.queued_bytes <= CONGESTED_BYTES + 2 * len(RESULT)
        assert any(dropped) and dropped == sorted(dropped)
        # What must not be lost still goes, in order.
        stopped.hot_restart.send(MessageKind.RELEASE, id="r1", known_until=None)
        stopped.go_on()
        await until(lambda: stopped.received and "id" in stopped.received[-1], "the release")
        numbers = [message["number"] for message in stopped.received[:-1]]
        assert numbers == list(range(len(numbers))) and numbers
        assert not stopped.channel.queued_bytes and not stopped.channel.is_congested()
        assert not stopped.hot_restart.send_unless_congested(MessageKind.JOB_UPDATE, number=0)
        stopped.channel.close()

    asyncio.run(scenario())


# Guards against: questions to a process that stands still filled the memory.
def test_request_is_refused_at_once_if_its_question_would_wait_behind_many():
    class CongestedMessenger(IdentifierMessenger):
        def is_congested(self):
            return True

    for ownership, is_taken in ((Ownership.AT_SUCCESSOR, False), (Ownership.OWN, True)):
        node = SocketlessNode()
        node.host.requests.identifiers.messenger = CongestedMessenger()
        node.host.requests.identifiers.ownership = ownership
        client = receive(node.client(), request(1))
        node.run()
        assert (client.open_request is not None) == is_taken
        assert client.transport.written.startswith(b"HTTP/1.1 503 ") != is_taken
        assert node.batch.metrics.counts[RefusalReason.UNDECIDED_ID] == int(not is_taken)
