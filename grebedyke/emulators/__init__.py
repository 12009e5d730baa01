"""Emulators of what a node talks to, executors and discovery: for tests, the demo and the load tool.

They use loopback addresses only. They are written from the protocol's page and share no code with a node's
side of it: a fault in the node's code cannot be hidden by the same fault here.
"""
