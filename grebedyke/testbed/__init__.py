"""The test bed: fleets of real processes or simulated nodes, faults between them, and checkers from outside.

It lies over the load tool and the emulators, never under them; a node imports nothing of it. Loopback only,
and every run is bounded. Trials (`trial.py`) have real processes, simulated clusters (`simulated_cluster.py`) the
components in simulated time, and scale runs (`scale_run.py`) as many nodes as a machine allows.
"""
