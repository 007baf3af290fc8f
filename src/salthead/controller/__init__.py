"""What every controller runs: its process-wide state, the election, and what users are answered."""
