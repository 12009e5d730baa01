"""A bare relay on BufferedProtocol that decides nothing: a node's cost is measured against it.

It is started like a node (BALANCER_CONFIG). Each request goes to the next executor of the list, once, without
deadline, health or drains; what the executor calls back is the answer. It keeps none of the rules.
"""

import asyncio
import json
import os
import sys

from grebedyke.wire.connection import Connection
from grebedyke.wire.http_messages import request_head, response_head


class Relay:
    """What all connections share.

    Attributes:
        loop: The event loop.
        executors: Addresses.
        next_executor: Number of the next request, by which its executor is chosen.
        clients: By request id, the `ClientConnection` that waits for the answer.
        idle: By executor, each `ExecutorConnection` that can take a request.
    """

    def __init__(self, loop, executors):
        self.loop = loop
        self.executors = executors
        self.next_executor = 0
        self.clients = {}
        self.idle = {address: [] for address in executors}

    def touch(self, connection):
        """Has what a connection has to send written at the end of this pass of the loop."""
        self.loop.call_soon(connection.flush)

    def forward(self, client, method, target, headers, body):
        """Sends a client's request to the next executor."""
        id = headers[b"x-request-id"]
        self.clients[id.decode()] = client
        address = self.executors[self.next_executor % len(self.executors)]
        self.next_executor += 1
        pairs = [(b"X-Request-ID", id)]
        if b"idempotency-key" in headers:
            pairs.append((b"Idempotency-Key", headers[b"idempotency-key"]))
        head = request_head(method, target, b"%s:%d" % (address[0].encode(), address[1]), pairs, len(body))
        if self.idle[address]:
            self.idle[address].pop().send(head, body)
        else:
            self.loop.create_task(self._connect_and_send(address, head, body))

    async def _connect_and_send(self, address, head, body):
        _, connection = await self.loop.create_connection(lambda: ExecutorConnection(self, address), *address)
        connection.send(head, body)

    def on_notice(self, notice):
        """Answers the client whose job an executor's notice ends."""
        if notice["state"] != "done":
            return
        client = self.clients.pop(notice["id"], None)
        if client is not None:
            result = notice.get("result", "").encode()
            client.send(response_head(200, len(result), True), result)


class ExecutorConnection(Connection):
    """A connection to an executor; it is idle once its request is confirmed."""

    def __init__(self, relay, address):
        super().__init__(relay.touch, reads_responses=True)
        self.relay = relay
        self.address = address

    def process_input(self):
        """Takes the responses that have come."""
        while self.parser.next_message():
            self.relay.idle[self.address].append(self)

    def connection_lost(self, exc):
        """Forgets the connection."""
        if self in self.relay.idle[self.address]:
            self.relay.idle[self.address].remove(self)


class ClientConnection(Connection):
    """A connection of a client or of an executor that sends notices."""

    def __init__(self, relay):
        super().__init__(relay.touch)
        self.relay = relay

    def process_input(self):
        """Takes the requests that have come."""
        while message := self.parser.next_message():
            method, target, headers, body = message
            if target == b"/up":
                self.send(response_head(200, 0, True))
            elif target == b"/_jobs/news":
                self.send(response_head(204, 0, True))
                self.relay.on_notice(json.loads(body))
            else:
                self.relay.forward(self, method, target, headers, body)


def _address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


async def main():
    """Serves until it is stopped."""
    with open(os.environ["BALANCER_CONFIG"]) as file:
        configuration = json.load(file)
    loop = asyncio.get_running_loop()
    relay = Relay(loop, [_address(row["address"]) for row in configuration["known"]["endpoints"]])
    server = await loop.create_server(lambda: ClientConnection(relay), *_address(configuration["listen"]))
    await server.serve_forever()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        sys.exit(0)
