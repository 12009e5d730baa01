"""Takes machines out of service for maintenance, in an order agreed through consensus. No I/O.

A plan (`plan`, parsed by `plan_parser`) is carried out as a rollout (`rollout`), a single replicated value.
Operator commands (`commands`) change the rollout, and so does a voter that acts as the driver (`driver`),
based on the evidence that it has collected (`observations`, `evidence`, `progress`, `limits`). Each node
excludes endpoints according to its view of the rollout (`exclusions`, `view_record`). The view is guaranteed
to be current while the node holds a lease from a majority of the voters (`view_lease`, `messages`).
`component` connects these modules to the host.
"""
