"""The test bed: fleets of real processes or simulated nodes, injected faults, and independent checkers.

The test bed is built on the load tool and the emulators, which never import it; a node imports nothing from
it. It uses loopback addresses only, and every run is bounded. Trials (`trial.py`) run real processes,
simulated clusters (`simulated_cluster.py`) run the components in simulated time, and scale runs
(`scale_run.py`) run as many nodes as a machine allows.
"""
