"""The state of the cluster as one leader knows it: machines, jobs, allocations. No I/O."""
