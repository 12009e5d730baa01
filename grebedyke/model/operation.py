"""Operations: the kinds of jobs, with the parameters for handling their requests."""

from dataclasses import dataclass

from grebedyke.model.outcome import Idempotency


@dataclass(slots=True, eq=False, kw_only=True)
class Operation:
    """A kind of job that clients can submit.

    Attributes:
        name: The name used by clients.
        idempotency: Whether a repeated run is harmless.
        idempotency_group: The executors among which repeats of a key are dropped: "all", "zone" or "cell".
        idempotency_window: Time for which repeats of a key are dropped, in ticks.
        latency_objective: Time within which an answer is wanted, in ticks.
        objective_stretch: Ticks added to the objective for each tick of work.
        priority_weight: Value of an answer within the objective.
        late_priority_weight: Value of a late answer.
        endpoint_kind: The only kind of executor that runs it; None for any kind.
        client_timeout: Default client timeout, in ticks.
        mean_work: Moving average of the work of finished requests, in ticks at mean speed; 0 before
            the first.
        longest_timeout: Longest client timeout seen so far, in ticks.
    """

    name: str
    idempotency: Idempotency
    idempotency_group: str
    idempotency_window: int
    latency_objective: int
    objective_stretch: float
    priority_weight: float
    late_priority_weight: float = 0.0
    endpoint_kind: str | None = None
    client_timeout: int = 50_000
    mean_work: float = 0.0
    longest_timeout: int = 0
