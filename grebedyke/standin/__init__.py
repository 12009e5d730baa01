"""Stand-ins for what a node talks to: executors and discovery, on loopback, for tests, the demo and the
load tool.

Written from the users' protocol page; nothing of a node's own wire code is used on this side, so that a fault
there does not hide itself here. On asyncio's streams.
"""
