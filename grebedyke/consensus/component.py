"""What all parts do alike: decisions laid out until the host takes them. The seam: the package's own page."""

from collections import deque


class Component:
    """`me`: this node's number; what it sends itself it hears at once."""

    def __init__(self, me):
        self.me, self.out, self.alarm, self.odd = me, deque(), None, 0

    def send(self, to, message):
        self.out.append(("send", to, message))

    def log(self, event, **fields):
        self.out.append(("log", event, fields))

    def answer_call(self, call, status, told):
        self.out.append(("answer", call, status, told))

    def hear(self, take, now, by, rest):
        """take(now, by, *rest), whatever a node says: what a later build says beyond is left alone."""
        try:
            take(now, by, *rest[: take.__code__.co_argcount - 3])
        except (TypeError, ValueError, KeyError, IndexError, AttributeError):
            self.odd += 1  # another build's, or made up

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
