"""The rig: several processes of the real program, faults between them, and a judge that looks from outside.

Over `load` and `standin`, never under them; a node imports nothing of it. Loopback only, every run bounded.
"""
