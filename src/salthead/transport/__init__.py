"""HTTP servers and clients, connection limits, and rate limits."""
