"""One kind of job, with the figures that decide how its requests are handled."""

from dataclasses import dataclass

from grebedyke.model.outcome import Effect


@dataclass(slots=True, eq=False, kw_only=True)
class Operation:
    """One kind of job that clients can hand in.

    Attributes:
        name: The name that clients use.
        effect: What a repeated run does.
        idempotency_group: The executors among which repeats of a key are dropped: "all", "zone" or "cell".
        idempotency_window: Time for which repeats of a key are dropped, in ticks.
        latency_objective: Time within which an answer is wanted, in ticks.
        objective_stretch: What the objective grows by for each tick of work.
        priority_weight: What an answer in time is worth.
        late_priority_weight: What a late answer is worth.
        endpoint_kind: The only kind of executor that runs it; None: any.
        client_timeout: The time that clients wait by default, in ticks.
        mean_work: Moving average of the work of finished requests, in ticks at mean speed; 0 before
            the first.
        longest_timeout: The longest time that a client was seen to wait, in ticks.
    """

    name: str
    effect: Effect
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
