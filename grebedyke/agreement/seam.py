"""What all parts do alike: decisions laid out until the host takes them. The seam: the package's own page."""

from collections import deque


class Part:
    """`me`: this node's number; what it sends itself it hears at once."""

    def __init__(self, me):
        self.me, self.out, self.alarm = me, deque(), None

    def send(self, to, message):
        self.out.append(("send", to, message))

    def log(self, event, **fields):
        self.out.append(("log", event, fields))

    def answer_call(self, call, status, told):
        self.out.append(("answer", call, status, told))

    def pull(self, now):
        """The next decision that lies ready, or None."""
        while self.out:
            decision = self.out.popleft()
            if decision[0] != "send" or decision[1] != self.me:
                return decision
            self.heard(now, self.me, decision[2])
        return None

    def wake(self, now, at):
        """A wake where none is set for as early; `at`: None where there is nothing to wait for."""
        at = None if at is None else max(at, now + 10)
        if at is None or self.alarm is not None and now < self.alarm <= at:
            return None
        self.alarm = at
        return "wake", at
