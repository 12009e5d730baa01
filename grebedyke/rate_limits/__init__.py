"""Fleet-wide limits, distributed to the nodes as leased shares by an elected lease holder. No I/O.

Start reading at `definitions` (the definition of a limit) and `request_limiter` (which a node's policy calls
for each request). `share_client` requests shares and `lease_holder` grants them, `holder_election` elects the
lease holder, and `component` connects them. docs/limits.md explains why shares never exceed a limit in sum.
"""
