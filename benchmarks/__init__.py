"""Measurements, run by hand; no part of the tests."""
