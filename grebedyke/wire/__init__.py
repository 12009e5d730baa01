"""Network protocols of the node: HTTP/1.1 to clients, executors and discovery, UDP datagrams to other nodes.

This package translates the field names of the protocols into the names that the rest of the program uses. All
times are whole ticks (`grebedyke/units.py`) unless the name states another unit.
"""
