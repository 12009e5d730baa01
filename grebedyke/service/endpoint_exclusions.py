"""Combines the endpoints that components exclude with those that operators have banned."""

from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.service.ban_change import BanChange

# Stands for the other process of this node among those that request exclusions.
OTHER_PROCESS = "other process"
ALL_ENDPOINTS = ExcludeEndpoints(frozenset(), all_others=True)


class EndpointExclusions:
    """Applies the components' exclusions as bans; an endpoint is used if no component or operator bans it.

    Attributes:
        node: The `NodeAccess`.
        requested: The last `ExcludeEndpoints` of each component.
        excluded: The endpoints that are banned for a component.
        banned_by_operator: The endpoints that an operator has banned at this node.
        inherited: The endpoints that another process of this node has banned for its components. Once this
            process has the fleet's folder, its own components decide.
        origins_are_known: Whether the bans of the other process came with who has set them.
        pass_on: Called with each `BanChange` that this process makes; None without another process.
    """

    def __init__(self, node):
        self.node = node
        self.requested = {}
        self.excluded = set()
        self.banned_by_operator = set()
        self.inherited = set()
        self.origins_are_known = False
        self.pass_on = None

    def exclude_all(self, components):
        """Excludes all endpoints until the components that control exclusions have sent theirs."""
        self.requested = {
            component: ALL_ENDPOINTS for component in components if component.controls_exclusions
        }

    def export_state(self):
        """Returns who has banned which endpoints, for another process of this node, in JSON types."""
        by_component = self.excluded | self.inherited
        return {
            # For a process of an earlier version, which takes all other bans for an operator's.
            "excluded": sorted(by_component - self.banned_by_operator),
            "by_component": sorted(by_component),
            "by_operator": sorted(self.banned_by_operator),
        }

    def import_state(self, state):
        """Imports what another process has exported; one of an earlier version tells less or nothing."""
        self.origins_are_known = "by_operator" in state
        self.banned_by_operator = {*state.get("by_operator", ())}
        self.inherited = {*state.get("by_component", state.get("excluded", ()))}

    def classify_inherited_bans(self, components):
        """Attributes the bans of another process, whose folder this one has now, to its own components.

        If that process has not told who has set them, bans of endpoints that concern a component are the
        components', and those that the process has not named as such are an operator's.
        """
        concerned = {
            name
            for component in components
            if component.controls_exclusions
            for name in component.possibly_excluded_endpoints()
        }
        banned = {*self.node.banned_names()}
        self.excluded |= (concerned | self.inherited) & banned
        if not self.origins_are_known:
            self.banned_by_operator |= banned - concerned - self.excluded
        self.inherited = set()

    def request(self, now, component, exclusion):
        """Replaces a component's `ExcludeEndpoints` and applies it."""
        self.requested[component] = exclusion
        self.apply(now)

    def apply(self, now):
        """Bans excluded endpoints and ends bans that no component needs; an operator's bans remain."""
        wanted = {name for exclusion in self.requested.values() for name in exclusion.names}
        if any(exclusion.all_others for exclusion in self.requested.values()):
            wanted |= {*self.node.listed_names()}
        # What is excluded here because the other process stands still is not that one's to know.
        is_passed_on = OTHER_PROCESS not in self.requested
        for name in wanted - self.excluded:
            if self.node.set_ban(now, name, True):
                self.excluded.add(name)
                if is_passed_on:
                    self._pass_on(BanChange(name, True, False, False, True))
        restarted = {name for exclusion in self.requested.values() for name in exclusion.restarted}
        for name in self.excluded - wanted:
            self.excluded.discard(name)
            is_banned = self._is_banned(name)
            if not is_banned:
                self.node.set_ban(now, name, False, name in restarted)
            if is_passed_on:
                self._pass_on(BanChange(name, False, False, name in restarted, is_banned))

    def operator_ban(self, now, name, is_banned):
        """Bans an endpoint for an operator or ends the ban; returns whether the node knows the endpoint."""
        _set_member(self.banned_by_operator, name, is_banned)
        is_banned_by_any = self._is_banned(name)
        if not self.node.set_ban(now, name, is_banned_by_any):
            self.banned_by_operator.discard(name)
            return False
        self._pass_on(BanChange(name, is_banned, True, True, is_banned_by_any))
        return True

    def on_passed_on_ban(self, now, change):
        """Applies a `BanChange` of the other process of this node."""
        name = change.endpoint_id
        banned = self.banned_by_operator if change.by_operator else self.inherited
        _set_member(banned, name, change.is_banned)
        if not self.node.set_ban(now, name, self._is_banned(name), change.was_restarted):
            banned.discard(name)

    def _is_banned(self, name):
        """Returns whether an operator or a component, here or in the other process, bans an endpoint."""
        return name in self.banned_by_operator or name in self.excluded or name in self.inherited

    def _pass_on(self, change):
        if self.pass_on:
            self.pass_on(change)


def _set_member(names, name, is_member):
    """Adds a name to a set or removes it."""
    if is_member:
        names.add(name)
    else:
        names.discard(name)
