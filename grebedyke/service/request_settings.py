"""The figures that requests, attempts and probes go by."""

from typing import NamedTuple


class RequestSettings(NamedTuple):
    """Settings of requests, attempts and probes; a reload may change them.

    Attributes:
        max_attempts: Attempts of one request.
        max_open_requests: Requests that are taken at once.
        probe_path: Target of probes, in bytes.
        response_timeout: Ticks that an executor has to answer a probe, a cancel or an attempt with a 202.
        response_margin: How much earlier than by the client's own reckoning an answer is due here, in ticks.
        scheduling_interval: What a step may be late by, in ticks.
    """

    max_attempts: int
    max_open_requests: int
    probe_path: bytes
    response_timeout: int
    response_margin: int
    scheduling_interval: int
