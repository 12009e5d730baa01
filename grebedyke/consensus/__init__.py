"""Consensus: a majority of the voting nodes chooses values, despite failed links, processes and disks.

This package does no I/O. `component.py` defines the interface of consensus, maintenance and rate limits.
"""
