"""Attempts of the other process of this node at endpoints that components have excluded.

A step of a plan is acknowledged once no attempt is open at the endpoints that it excludes. During a hot
restart the components run in one process, and the other one may have such attempts. It confirms each
exclusion once it applies it and has no attempt at the endpoint. Without a confirmation it counts as having
one. The methods that take the time are events of a batch.
"""


class ExclusionDrain:
    """Both sides of the confirmations: of the process with the components, and of the other one.

    Attributes:
        unconfirmed: By endpoint, the number of the exclusion that the other process has not confirmed.
        draining: By endpoint, the number of the other process's exclusion that this one has to confirm.
        last_number: Number of the last exclusion that was passed on.
    """

    def __init__(self):
        self.unconfirmed = {}
        self.draining = {}
        self.last_number = 0

    # The process with the components.

    def expect(self, name):
        """Expects a confirmation of an exclusion; returns the exclusion's number."""
        self.last_number += 1
        self.unconfirmed[name] = self.last_number
        return self.last_number

    def confirmed(self, now, name, number):
        """Handles a confirmation; one of an earlier exclusion of the endpoint is ignored."""
        if self.unconfirmed.get(name) == number:
            del self.unconfirmed[name]

    def excluded_no_more(self, name):
        """Ends the wait for a confirmation, as the exclusion has ended."""
        self.unconfirmed.pop(name, None)

    def forget(self, now, number):
        """Ends the wait for confirmations of all exclusions up to a number."""
        self.unconfirmed = {name: other for name, other in self.unconfirmed.items() if other > number}

    # The other process.

    def drain(self, now, name, number):
        """Records an exclusion to confirm."""
        self.draining[name] = number

    def cancel(self, now, name):
        """Records that an exclusion has ended."""
        self.draining.pop(name, None)

    def take_drained(self, with_open_attempts):
        """Returns the (name, number) of exclusions that can be confirmed now, each once.

        Args:
            with_open_attempts: Called with names; returns those with open attempts in this process.
        """
        open_names = {*with_open_attempts(self.draining)}
        drained = [(name, number) for name, number in self.draining.items() if name not in open_names]
        self.draining = {name: number for name, number in self.draining.items() if name in open_names}
        return drained
