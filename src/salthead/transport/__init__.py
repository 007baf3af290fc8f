"""Sockets and HTTP: servers, clients and the limits of what is asked per second."""
