"""Reload: applies a changed configuration while the node is running."""

from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger

# Keys whose changes take effect at the next start; every configuration has all of them.
STARTUP_ONLY_KEYS = (
    "name",
    "listen",
    "console",
    "counts",
    "seed",
    "limits",
    "folder",
    "fleet",
    "maintenance",
)
# Settings that maintenance reads at the start only.
MAINTENANCE_RULE_KEYS = ("drainGraceMs", "rampTimeMs")
MAINTENANCE_OPERATION_KEYS = ("idempotency", "group", "windowMs")


class ReloadablePart(NamedTuple):
    """A part of the configuration that can change while the node is running.

    Attributes:
        sections: Its keys in the configuration.
        prepare: Called with a configuration; returns the function that applies it, or raises an exception
            before anything has changed.
    """

    sections: tuple[str, ...]
    prepare: Callable[[dict[str, Any]], Callable[[int], None]]


class ConfigurationReload:
    """Reads the configuration again and applies it completely or not at all.

    Attributes:
        batch: The node's `BatchLoop`.
        discovery: The `DiscoveryClient`, whose address may change.
        configuration: The configuration in force.
        read_configuration: Reads the configuration again.
        parts: The `ReloadablePart`s.
    """

    def __init__(self, batch, discovery, configuration, read_configuration):
        self.batch = batch
        self.discovery = discovery
        self.configuration = configuration
        self.read_configuration = read_configuration
        self.parts = []

    def is_outdated(self):
        """Returns whether the file has changed since it was read, or is no longer valid."""
        try:
            configuration = self.read_configuration()
        except Exception:
            # An invalid file must not end the node; the reload that follows logs the fault.
            return True
        # Compares discovery in the two files: at the start the environment overrides the file's address.
        is_other_discovery = configuration.get("written") != self.configuration.get("written")
        return is_other_discovery or self._differs(configuration)

    def _differs(self, configuration):
        return any(
            configuration[section] != self.configuration[section]
            for part in self.parts
            for section in part.sections
        )

    def reload(self):
        """Applies the changes; an invalid file changes nothing."""
        try:
            configuration = self.read_configuration()
            apply_change = self._prepare(configuration) if self._differs(configuration) else None
        except Exception as problem:
            # No fault in the file may end the node.
            logger.error(
                "reload refused, the old configuration stays in force: {why}",
                event="reload-refused",
                why=str(problem),
            )
            return
        ignored = ignored_keys(self.configuration, configuration)
        if ignored:
            logger.warning(
                "reload: changes of {keys} take effect at the next start",
                event="reload-disregarded",
                keys=", ".join(ignored),
            )
        self.configuration = configuration
        host, port = configuration["discovery"]
        logger.info(
            "reload done, discovery at {host}:{port} ({moved}), settings {settings}",
            event="reload",
            host=host,
            port=port,
            moved="as before" if (host, port) == self.discovery.address else "moved",
            settings="changed" if apply_change else "as before",
        )
        self.discovery.set_address(host, port)
        if apply_change:
            # Applied as an event, so that all earlier events are handled with the old settings.
            self.batch.enqueue(apply_change)

    def _prepare(self, configuration):
        calls = [part.prepare(configuration) for part in self.parts]

        def apply_change(now):
            """Applies the changed settings of all parts."""
            for call in calls:
                call(now)

        return apply_change


def ignored_keys(before, after):
    """Returns the changed keys that take no effect at a reload.

    Args:
        before: The configuration in force.
        after: The new configuration.
    """
    keys = [key for key in STARTUP_ONLY_KEYS if before[key] != after[key]]
    if _without_limits(before["shares"]) != _without_limits(after["shares"]):
        keys.append("shares")
    if before["maintenance"] is not None:
        keys += _changed_maintenance_settings(before["settings"], after["settings"])
    return keys


def _without_limits(shares):
    """Returns the section without its limits, which a reload can change; None without a section."""
    return None if shares is None else {key: value for key, value in shares.items() if key != "limits"}


def _changed_maintenance_settings(before, after):
    for key in MAINTENANCE_RULE_KEYS:
        if before["rules"][key] != after["rules"][key]:
            yield f"settings.rules.{key} for maintenance"
    if _maintenance_operations(before) != _maintenance_operations(after):
        yield "settings.operations for maintenance"


def _maintenance_operations(settings):
    return {
        tuple(row[key] for key in MAINTENANCE_OPERATION_KEYS)
        for row in settings["operations"]
        if row["idempotency"] == "keyed"
    }
