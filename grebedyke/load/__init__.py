"""The load tool: open-loop clients, and a ledger at both ends that judges the rules. Loopback only."""
