"""The node's protocols: HTTP/1.1 with clients, executors and discovery, datagrams with other nodes.

Field names of the wire are mapped to the program's own terms here and go no further. All times are whole
ticks (`grebedyke/units.py`) unless a name says otherwise.
"""
