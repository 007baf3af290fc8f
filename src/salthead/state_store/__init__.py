"""The client of the state service, and the records that are stored there."""
