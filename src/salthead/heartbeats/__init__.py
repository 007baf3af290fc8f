"""Handling of workers' heartbeats: ledger updates and the commands that answer them. No I/O."""
