"""A bare relay on BufferedProtocol that decides nothing: a node's cost is measured against it.

Told like a node (BALANCER_CONFIG). Each invocation goes to the next executor of the list, once, with no limit
of time, no health, no drains; what the executor calls back is the answer. No rule is kept by it.
"""

import asyncio
import json
import os
import sys

from grebedyke.wire.connection import Connection
from grebedyke.wire.http_messages import request_head, response_head


class Relay:
    def __init__(self, loop, executors):
        self.loop, self.executors, self.turn, self.owed = loop, executors, 0, {}
        self.idle = {address: [] for address in executors}

    def touch(self, connection):
        self.loop.call_soon(connection.flush)

    def hand_in(self, client, method, target, headers, body):
        id = headers[b"x-request-id"]
        self.owed[id.decode()] = client
        address = self.executors[self.turn % len(self.executors)]
        self.turn += 1
        pairs = [(b"X-Request-ID", id)]
        pairs += [(b"Idempotency-Key", headers[b"idempotency-key"])] if b"idempotency-key" in headers else []
        head = request_head(method, target, b"%s:%d" % (address[0].encode(), address[1]), pairs, len(body))
        if self.idle[address]:
            self.idle[address].pop().send(head, body)
        else:
            self.loop.create_task(self.open(address, head, body))

    async def open(self, address, head, body):
        _, line = await self.loop.create_connection(lambda: Line(self, address), *address)
        line.send(head, body)

    def called_back(self, told):
        if told["state"] == "done" and (client := self.owed.pop(told["id"], None)):
            result = told.get("result", "").encode()
            client.send(response_head(200, len(result), True), result)


class Line(Connection):
    def __init__(self, relay, address):
        super().__init__(relay.touch, reads_responses=True)
        self.relay, self.address = relay, address

    def process_input(self):
        while self.parser.next_message():
            self.relay.idle[self.address].append(self)

    def connection_lost(self, exc):
        if self in self.relay.idle[self.address]:
            self.relay.idle[self.address].remove(self)


class Client(Connection):
    def __init__(self, relay):
        super().__init__(relay.touch)
        self.relay = relay

    def process_input(self):
        while message := self.parser.next_message():
            method, target, headers, body = message
            if target == b"/up":
                self.send(response_head(200, 0, True))
            elif target == b"/_jobs/news":
                self.send(response_head(204, 0, True))
                self.relay.called_back(json.loads(body))
            else:
                self.relay.hand_in(self, *message)


async def main():
    with open(os.environ["BALANCER_CONFIG"]) as file:
        said = json.load(file)
    places = [row["address"].rpartition(":") for row in said["known"]["endpoints"]]
    loop = asyncio.get_running_loop()
    relay = Relay(loop, [(host, int(port)) for host, _, port in places])
    host, _, port = said["listen"].rpartition(":")
    server = await loop.create_server(lambda: Client(relay), host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        sys.exit(0)
