"""The load tool: open-loop clients, and a ledger of both ends that judges the rules. Loopback only."""
