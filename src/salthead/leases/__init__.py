"""Lease arithmetic for the leader, the workers, and zones with delegated leases. No I/O."""
