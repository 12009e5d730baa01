"""The one place where what is told at start is read, checked and given defaults.

The same settings come in the simulator's first message and in a node's configuration; both end here.
"""

from grebedyke.errors import ConfigurationError
from grebedyke.service.configuration.dispatcher_settings import open_dispatcher
from grebedyke.service.configuration.reading import all_keys, in_force, parse, parse_plain, read_node
from grebedyke.service.configuration.terms import terms

__all__ = [
    "ConfigurationError",
    "all_keys",
    "in_force",
    "open_dispatcher",
    "parse",
    "parse_plain",
    "read_node",
    "terms",
]
