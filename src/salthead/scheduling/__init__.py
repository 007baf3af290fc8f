"""Queue order, placement, reservations and preemption. No I/O."""
