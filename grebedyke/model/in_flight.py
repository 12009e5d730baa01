"""What a node keeps of the requests that it has taken, until they are answered. Nothing here decides."""


class Owed:
    """A request as it came in, until its final answer is written and its attempts have ended.

    Attributes:
        id: The client's identifier.
        client: The connection that waits for the answer; None once it is answered or has left.
        line: Method, target and idempotency key.
        body: The body as it came; dropped once nobody waits.
        due: When the answer is due here, in ticks.
        came: When it was taken, in ticks.
        flights: The attempts, the oldest first.
        open: How many of them have not ended.
    """

    __slots__ = ("body", "came", "client", "due", "flights", "id", "line", "open")

    def __init__(self, id, client, line, body, due, came):
        self.id = id
        self.client = client
        self.line = line
        self.body = body
        self.due = due
        self.came = came
        self.flights = []
        self.open = 0


class Flight:
    """An attempt as the host sent it; creating it counts it at its request and its endpoint.

    Attributes:
        owed: The request.
        n: Position among the request's attempts, from 0.
        endpoint: Where it was sent.
        call: The HTTP call; None before it is made.
        accepted: The executor has taken it over (202).
        began: The executor has shown that it runs.
        done: It has ended.
        untold: It ended in a way of which nothing more can be reported.
        again: The executor may still report an earlier attempt of the same request.
    """

    __slots__ = ("accepted", "again", "began", "call", "done", "endpoint", "n", "owed", "untold")

    def __init__(self, owed, endpoint):
        self.owed = owed
        self.n = len(owed.flights)
        self.endpoint = endpoint
        self.call = None
        self.accepted = False
        self.began = False
        self.done = False
        self.untold = False
        # By name: an executor that left the list and came back is another endpoint, with the same call-backs.
        self.again = any(f.endpoint.name == endpoint.name and not f.untold for f in owed.flights)
        owed.flights.append(self)
        owed.open += 1
        endpoint.open_attempts += 1

    def end(self):
        """Takes it out of the books of its request and its endpoint."""
        self.done = True
        self.owed.open -= 1
        self.endpoint.open_attempts -= 1
