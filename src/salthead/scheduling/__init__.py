"""Which task goes where, in which order, and what is preempted for it. No I/O."""
