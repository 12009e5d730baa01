"""The settings of requests, attempts and probes."""

from typing import NamedTuple


class RequestSettings(NamedTuple):
    """Settings of requests, attempts and probes; a reload may change them.

    Attributes:
        max_attempts: Maximum number of attempts of a request.
        max_open_requests: Maximum number of open requests.
        probe_path: Target of probes, in bytes.
        response_timeout: Ticks in which an executor must answer a probe, a cancel, or an attempt with a 202.
        response_margin: Ticks between the deadline of an answer here and the client's own timeout.
        scheduling_interval: Tolerance for the lateness of a step, in ticks.
        identifier_retention: Ticks for which the identifier of an ended request stays in use if its job may
            have run.
    """

    max_attempts: int
    max_open_requests: int
    probe_path: bytes
    response_timeout: int
    response_margin: int
    scheduling_interval: int
    identifier_retention: int
