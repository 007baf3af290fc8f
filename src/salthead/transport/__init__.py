"""HTTP servers and clients, limits of connections, and rate limits of calls."""
