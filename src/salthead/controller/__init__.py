"""What every controller runs: its parts, the election, and its answers to users and workers."""
