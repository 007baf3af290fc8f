"""Declared IP networks, the machines in each, and which of these are silent."""
