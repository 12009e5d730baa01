"""Data types of the dispatcher: requests, attempts, endpoints and the endpoint list.

The modules hold plain records and counters without policy, which is in `grebedyke.policy`. Times are whole
ticks (`grebedyke/units.py`). Objects refer to each other directly; identifiers appear only in the events and
actions exchanged with the host. `in_flight` holds the host's own types of requests and attempts.
"""
