"""Limits that hold for the whole fleet, in shares on lease from one holder that consensus chooses. No I/O.

Start reading at `definitions` (what a limit is) and `request_limiter` (what a node's policy asks for each
request). `share_client` and `lease_holder` are the two sides that move shares between nodes,
`holder_election` chooses the holder, `component` joins them. Why the sum of all shares never exceeds a limit:
docs/limits.md.
"""
