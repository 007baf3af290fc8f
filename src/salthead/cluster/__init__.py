"""State of the cluster as one leader knows it: machines, jobs and allocations, without I/O."""
