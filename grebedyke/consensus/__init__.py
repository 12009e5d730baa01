"""What a majority of the voting nodes agrees on, kept through lost links, processes and disks. No I/O.

One seam for all parts of the fleet, this one and those above it. A host (`service/parts.py` on sockets,
`rig/world.py` in simulated time) tells a part what happened, with the time in tenths of a millisecond:

    heard(now, by, message)          another node's message, a list whose first item is its kind
    kept(now, name, number, done)    what became of that `keep`: False once it is not known to be on the disk
    recalled(now, records)           once, at the start: name -> bytes, None where there is no such file
    listed(now, whole, rows)         the list: (name, zone, kind, cell, state, since, weight)
    busy(now, names)                 which of part.watching have forwards of this node open
    called(now, call, method, path, body)     an operator's call that begins with one of part.paths
    look(now)                        right before messages are written: what has ended by time alone?

and then takes part.decide(now) until it gives None:

    ("send", node, message)    ("keep", name, number, bytes)    ("wake", at)    ("hands", names, others too)
    ("answer", call, status, text)    ("log", event, fields)

A part has `paths` (of operators' calls), `files` (their names) and `bans`: whether it says by "hands" which
executors are out; until it does, a node that has just begun uses none.

Messages may be lost, late, doubled or out of order. Of `keep` at most one of a name is under way at a time.
"""
