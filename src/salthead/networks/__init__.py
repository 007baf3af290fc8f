"""The operators' IP networks: which machines are in each, and which of these are silent."""
