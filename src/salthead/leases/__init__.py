"""Lease arithmetic: the leader, the workers, and zones whose leases are delegated. No I/O."""
