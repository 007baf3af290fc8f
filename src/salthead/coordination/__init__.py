"""Pure decisions: election, the ledger of machines and tasks, placement, fleet. No I/O."""
