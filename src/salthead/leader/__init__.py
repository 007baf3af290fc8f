"""The term of a leader: the loops that reconcile the cluster with its ledger."""
