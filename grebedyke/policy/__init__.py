"""The dispatching policy of a node: endpoint selection, retries, cutoffs and refusals.

The package does no I/O. A host feeds events to a `Dispatcher` and carries out its actions; the current time
is always an argument. Each rule has its own module, whose docstring states its inputs, their units and the
rationale.

Some rules have a number: a request gets one final answer in time (rule 1), no job takes effect twice (rule
2), an executor gets no new attempts once it drains (rule 3), a warming executor gets less than its share of
the traffic (rule 4), and retries stay within a budget (rule 5).

Handling of a request:

- `admission`: estimated work, latest start and quota on arrival; `tenant_quotas`: quota checks.
- `request_queue`: order of waiting requests; `placement`: placing or refusing them.
- `endpoint_selection`: choice of the endpoint; `probing`: choice of endpoints to probe first.
- `slot_leasing`: slots granted between nodes; `group_coordinator`: the node that grants them.
- `attempt_tracking`: updates on the start, progress and end of an attempt.
- `retry_eligibility` (rule 2) and `retry_budget` (rule 5): whether and where a retry is allowed.
- `final_answer`: the latest start of a request, and its answer when it is refused.

State of endpoints, combined in `endpoint_table`:

- `slow_start` (rule 4): traffic to an executor that is warming up.
- `concurrency_credit`: slots that this node may use at an endpoint.
- `ejection`: exclusion after failures; `responsiveness`: detection of endpoints that stopped responding.
- `load_estimate`: expected wait from load reports; `start_lateness`: recent error of that estimate.
- `speed_estimate`: relative speed.

Cancelling long jobs and restarting them one tier up (TAGS):

- `cutoff_search`: the cutoffs, based on `bounded_pareto` and `wait_model`.
- `cutoff_enforcement`: cancelling attempts at their cutoff; `tier_assignment`: the endpoints of each tier.

`list_polling`: timing of polls of the endpoint list.
"""
