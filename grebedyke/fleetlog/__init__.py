"""Reads the logs of a whole fleet and gives by the second what all nodes together did.

A day of hundreds of nodes cannot be looked into by hand: each log alone shows next to nothing.
"""
