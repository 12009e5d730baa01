"""The load tool: open-loop clients, and a ledger of clients and executors to check rules. Loopback only."""
