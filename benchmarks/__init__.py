"""Benchmarks that are run by hand; the test suite does not run them."""
