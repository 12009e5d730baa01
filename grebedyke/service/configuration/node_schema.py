"""The schema of a node's configuration file, apart from its settings and the components' sections."""

from voluptuous import All, Any, Length, Optional, Required

from grebedyke.validation import address, address_text, integer_seconds, number, table

COMPONENT_SECTIONS = ("fleet", "maintenance", "shares")

# These are checked row by row when an endpoint list is read, so that an invalid row affects no other row.
_UNCHECKED_ENDPOINT_KEYS = ("zone", "type", "group", "status", "weight", "since_ms")

_ENDPOINT = table(
    {
        Required("name"): str,
        Required("address"): address_text,
        **{Optional(key): object for key in _UNCHECKED_ENDPOINT_KEYS},
    }
)

# The initial endpoint list until discovery answers; it may be out of date.
_KNOWN_ENDPOINTS = table({Optional("index"): number(0), Optional("endpoints", default=list): [_ENDPOINT]})

NODE_SCHEMA = table(
    {
        Required("name"): All(str, Length(min=1)),
        Required("listen"): address,
        Required("discovery"): address,
        # Without an address the admin API does not listen.
        Optional("console", default=None): Any(None, address),
        Optional("seed", default="0"): object,
        Optional("counts", default=5): integer_seconds,
        # Required for hot restarts.
        Optional("folder", default=None): Any(None, str),
        Optional("limits", default=dict): table(
            {Optional("sockets", default=1024): number(32), Optional("memory_mb", default=1024): number(1)}
        ),
        # The addresses of all nodes by number, including this node's. Empty: no datagrams.
        Optional("peers", default=list): [address],
        Optional("known", default=dict): _KNOWN_ENDPOINTS,
        # A component is off without its section; the module `sections` checks the content.
        **{Optional(name, default=None): Any(None, dict) for name in COMPONENT_SECTIONS},
        Required("settings"): dict,
    }
)
