"""salthead: a cluster scheduler in which one leader places every task."""

__version__ = "0.1.0"
