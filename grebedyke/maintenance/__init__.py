"""Machines out for work, in an order that the nodes settle among themselves. No I/O."""
