"""What a node keeps of what it has taken. Plain types; nothing here decides."""


class Owed:
    """An invocation as it came in, until its final answer is written and its forwards have ended."""

    __slots__ = ("id", "client", "line", "body", "due", "came", "flights", "open")

    def __init__(self, id, client, line, body, due, came):
        self.id, self.client, self.line, self.body, self.due, self.came = id, client, line, body, due, came
        self.flights, self.open = [], 0


class Flight:
    """A forward under way. `again`: the executor may still tell of an earlier one of the same invocation.

    `untold`: it ended in a way of which nothing more can be told.
    """

    __slots__ = ("owed", "n", "endpoint", "call", "accepted", "began", "done", "untold", "again")

    def __init__(self, owed, endpoint):
        self.owed, self.n, self.endpoint, self.call = owed, len(owed.flights), endpoint, None
        self.accepted = self.began = self.done = self.untold = False
        # By name: an executor that left the list and came back is another endpoint, with the same call-backs.
        self.again = any(f.endpoint.name == endpoint.name and not f.untold for f in owed.flights)
        owed.flights.append(self)
        owed.open, endpoint.flights = owed.open + 1, endpoint.flights + 1

    def end(self):
        """Takes it out of the books of its request and its endpoint."""
        self.done = True
        self.owed.open, self.endpoint.flights = self.owed.open - 1, self.endpoint.flights - 1
