"""Takes machines out for work in an order that the nodes of a fleet agree on. No I/O.

A plan (`plan`, read by `plan_parser`) is carried out as a rollout (`rollout`), one value that the nodes agree
on. It changes by operators' commands (`commands`) and by what a voter, the driver, has seen (`driver`,
`observations`, `evidence`, `progress`, `limits`). Each node excludes endpoints by its view of the rollout
(`exclusions`, `view_record`), which is certain while it holds a lease from the voters (`view_lease`,
`messages`). `component` connects these with the host.
"""
