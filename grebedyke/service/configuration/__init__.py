"""A node's configuration: reads it, checks it, fills in defaults, and builds the dispatcher from it.

The settings of a deployment, on which the decisions depend, are in the simulator's first message or in a
node's file; both are checked against the same schema.
"""

from grebedyke.errors import ConfigurationError
from grebedyke.service.configuration.dispatcher_settings import open_dispatcher
from grebedyke.service.configuration.file_parsing import parse_node_file, parse_plain_file
from grebedyke.service.configuration.node_configuration import read_node, values_in_force
from grebedyke.service.configuration.settings_schema import check_settings

__all__ = [
    "ConfigurationError",
    "check_settings",
    "open_dispatcher",
    "parse_node_file",
    "parse_plain_file",
    "read_node",
    "values_in_force",
]
