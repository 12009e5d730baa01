"""Emulators of the servers that a node uses, executors and discovery, for tests, the demo and the load tool.

They use loopback addresses only. They are implemented from the protocol documentation and share no code with
the node, so that a fault in the node's code cannot be hidden by the same fault here.
"""
