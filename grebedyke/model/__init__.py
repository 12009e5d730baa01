"""The types that the decisions work on: requests, attempts, endpoints and the endpoint list.

Plain records and counters, one job a module; nothing here decides. The rules stand in `grebedyke.policy`.
Times are whole ticks (`grebedyke/units.py`). Objects refer to each other directly; identifiers serve only in
the events and actions that cross to the host.
"""
