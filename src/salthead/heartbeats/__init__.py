"""What the heartbeat of a worker changes, and the commands that answer it. No I/O."""
