"""One term of the leader: the loops that bring the world in line with the ledger."""
