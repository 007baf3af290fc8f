"""What is kept in the state service, and how it is written there."""
