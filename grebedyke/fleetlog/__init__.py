"""Reads the logs of a whole fleet and sums up, second by second, what all nodes together did.

One node's log shows next to nothing of the fleet, and hundreds of logs cannot be read by hand.
"""
