"""The decisions of a node: which endpoint a request is sent to, when it is retried, cut or given up.

Nothing here does I/O. A host feeds one `Dispatcher` with events and takes its actions; every time is an
argument. Each rule stands in one module, whose docstring names its inputs, their units and the reason.

What becomes of a request:

- `admission`: its size, latest start and quota when it comes in; `tenant_quotas`: who is over quota.
- `request_queue`: in which order requests wait; `placement`: what becomes of a waiting one.
- `endpoint_selection`: which endpoint gets it; `probing`: which are asked for their load before.
- `slot_lending`: slots granted between nodes; `group_coordinator`: which node grants them.
- `attempt_tracking`: what the start, progress and end of an attempt change.
- `retry_eligibility` (rule 2) and `retry_budget` (rule 5): whether and where it may be retried.
- `giving_up`: until when it may be sent, and how it is answered otherwise.

What is known of an endpoint, kept together by `endpoint_table`:

- `slow_start` (rule 4): how much an executor gets while it warms up.
- `concurrency_credit`: how many slots this node may use there.
- `ejection`: how long it is left out after failures; `responsiveness`: when it shows no sign of life.
- `load_estimate`: the wait by its load report; `start_lateness`: how far that has been wrong of late.
- `speed_estimate`: how fast it works.

Cutting jobs off to restart them one tier up (TAGS):

- `cutoff_search`: at which running time, by `bounded_pareto` and `wait_model`.
- `cutting`: which running attempt is cut; `tier_assignment`: which endpoints form the tiers.

`list_polling`: when the endpoint list is asked for.
"""
