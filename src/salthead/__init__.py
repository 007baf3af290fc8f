"""salthead, a cluster scheduler in which a single leader places every task."""

__version__ = "0.1.0"
