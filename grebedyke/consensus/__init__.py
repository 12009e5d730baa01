"""Consensus: values that a majority of the voting nodes chooses, in spite of lost links, processes and disks.

Without I/O. `component.py` is the interface that consensus, maintenance and rate limits share.
"""
