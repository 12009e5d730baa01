"""Confirmations of exclusions by the other process of this node.

A step of a plan is acknowledged once this node applies its exclusions and has no attempt at the excluded
endpoints, or has waited long enough for their end. During a hot restart the components run in one process,
and the other one serves too. It confirms each exclusion twice: when it applies it, and when it has no attempt
at the endpoint. The methods that take the time are events of a batch.
"""

from typing import NamedTuple


class Confirmation(NamedTuple):
    """A confirmation of an exclusion.

    Attributes:
        name: The excluded endpoint.
        number: The number of the exclusion.
        is_drained: Whether the process that confirms has no attempt at the endpoint.
    """

    name: str
    number: int
    is_drained: bool


class ExclusionConfirmations:
    """Both sides of the confirmations: of the process with the components, and of the other one.

    Attributes:
        unapplied: By endpoint, the number of the exclusion that the other process is not known to apply.
        open_elsewhere: By endpoint, the number of the exclusion that the other process applies although it is
            not known to have no attempt there.
        to_confirm: By endpoint, the number of the other process's exclusion, while this process has attempts
            at the endpoint or has not confirmed it.
        last_number: Number of the last exclusion that was passed on.
    """

    def __init__(self):
        self.unapplied = {}
        self.open_elsewhere = {}
        self.to_confirm = {}
        self.last_number = 0
        self._confirmed_as_applied = set()

    # The process with the components.

    def expect(self, name):
        """Expects the confirmations of an exclusion; returns the exclusion's number."""
        self.end(name)
        self.last_number += 1
        self.unapplied[name] = self.last_number
        return self.last_number

    def end(self, name):
        """Expects no more confirmations, as the exclusion has ended."""
        self.unapplied.pop(name, None)
        self.open_elsewhere.pop(name, None)

    def receive(self, now, confirmation):
        """Handles a `Confirmation`; one of an earlier exclusion of the endpoint is ignored."""
        name, number, is_drained = confirmation
        if number not in (self.unapplied.get(name), self.open_elsewhere.get(name)):
            return
        self.end(name)
        if not is_drained:
            self.open_elsewhere[name] = number

    def other_process_ended(self):
        """Handles the end of the other process: it sends no more, but its jobs may run on.

        Returns:
            The number of the last exclusion, for `forget`.
        """
        self.open_elsewhere |= self.unapplied
        self.unapplied = {}
        return self.last_number

    def forget(self, now, number):
        """Expects no more confirmations of exclusions up to a number."""
        self.open_elsewhere = {name: other for name, other in self.open_elsewhere.items() if other > number}

    # The other process.

    def excluded(self, now, name, number):
        """Records an exclusion to confirm."""
        self.to_confirm[name] = number
        self._confirmed_as_applied.discard(name)

    def excluded_no_more(self, now, name):
        """Records that an exclusion has ended."""
        self.to_confirm.pop(name, None)

    def take(self, with_open_attempts):
        """Returns the `Confirmation`s that can be given now, each once.

        Args:
            with_open_attempts: Called with names; returns those with open attempts in this process.
        """
        open_names = {*with_open_attempts(self.to_confirm)}
        confirmations = []
        for name, number in self.to_confirm.items():
            if name not in open_names or name not in self._confirmed_as_applied:
                confirmations.append(Confirmation(name, number, name not in open_names))
        self.to_confirm = {name: number for name, number in self.to_confirm.items() if name in open_names}
        self._confirmed_as_applied = open_names
        return confirmations
