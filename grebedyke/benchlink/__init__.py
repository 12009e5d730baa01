"""Adapter to the simulator: JSON lines on standard input and output, for many independent dispatchers."""
