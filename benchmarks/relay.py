"""A bare relay without any policy, the baseline for the cost of a node.

It is started like a node (BALANCER_CONFIG). Each request goes once to the next executor of the list; the
executor's final job update becomes the response. Deadlines, endpoint health, drains and all other rules of
the dispatcher are missing. Connections and parser are the program's own, based on asyncio's BufferedProtocol.
"""

import asyncio
import json
import os
import sys

from grebedyke.wire.connection import Connection
from grebedyke.wire.http_messages import request_head, response_head


class Relay:
    """The state shared by all connections.

    Attributes:
        loop: The event loop.
        executors: Addresses of the executors.
        request_count: Number of requests so far, which selects the next executor in turn.
        clients: The `ClientConnection` that waits for the response, by request id.
        idle: Idle `ExecutorConnection` objects, by executor address.
    """

    def __init__(self, loop, executors):
        self.loop = loop
        self.executors = executors
        self.request_count = 0
        self.clients = {}
        self.idle = {address: [] for address in executors}

    def schedule_flush(self, connection):
        """Schedules writing the connection's output in the next pass of the event loop."""
        self.loop.call_soon(connection.flush)

    def forward(self, client, method, target, headers, body):
        """Sends a client's request to the next executor."""
        request_id = headers[b"x-request-id"]
        self.clients[request_id.decode()] = client
        address = self.executors[self.request_count % len(self.executors)]
        self.request_count += 1
        pairs = [(b"X-Request-ID", request_id)]
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

    def on_job_update(self, update):
        """Responds to the client whose job a job update reports as done."""
        if update["state"] != "done":
            return
        client = self.clients.pop(update["id"], None)
        if client is not None:
            result = update.get("result", "").encode()
            client.send(response_head(200, len(result), True), result)


class ExecutorConnection(Connection):
    """A connection to an executor; it is idle once the executor has responded to its request."""

    def __init__(self, relay, address):
        super().__init__(relay.schedule_flush, reads_responses=True)
        self.relay = relay
        self.address = address

    def process_input(self):
        """Handles the received responses."""
        while self.parser.next_message():
            self.relay.idle[self.address].append(self)

    def connection_lost(self, exc):
        """Removes the connection from the idle ones."""
        if self in self.relay.idle[self.address]:
            self.relay.idle[self.address].remove(self)


class ClientConnection(Connection):
    """A connection from a client, or from an executor that sends job updates."""

    def __init__(self, relay):
        super().__init__(relay.schedule_flush)
        self.relay = relay

    def process_input(self):
        """Handles the received requests."""
        while message := self.parser.next_message():
            method, target, headers, body = message
            if target == b"/up":
                self.send(response_head(200, 0, True))
            elif target == b"/_jobs/news":
                self.send(response_head(204, 0, True))
                self.relay.on_job_update(json.loads(body))
            else:
                self.relay.forward(self, method, target, headers, body)


def _parse_address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


async def main():
    """Serves until the process is stopped."""
    with open(os.environ["BALANCER_CONFIG"]) as file:
        configuration = json.load(file)
    loop = asyncio.get_running_loop()
    relay = Relay(loop, [_parse_address(row["address"]) for row in configuration["known"]["endpoints"]])
    server = await loop.create_server(
        lambda: ClientConnection(relay), *_parse_address(configuration["listen"])
    )
    await server.serve_forever()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        sys.exit(0)
