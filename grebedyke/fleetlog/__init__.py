"""Reads the logs of all nodes of a fleet and totals their counts second by second.

The log of a single node shows little of the fleet, and hundreds of logs are too many to read by hand.
"""
