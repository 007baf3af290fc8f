"""Failure detection by link and direction, and the preconditions of actions that depend on it.

Nothing is inferred from the other direction of a link: heartbeats that arrive do not prove that
answers reach the worker, and answers of the state service do not prove that workers can be reached.
"""
