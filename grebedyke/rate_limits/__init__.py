"""Limits that hold for the whole fleet: shares on lease from one holder, settled by agreement. No I/O."""
