"""The base class of all errors, and the errors that select the answer to a user's request."""


class SaltheadError(Exception):
    """Base class of the errors that salthead raises."""


class UnavailableError(SaltheadError):
    """The request can't be decided at present; the client should retry."""


class InvalidJobError(SaltheadError):
    """The job can never run, or depends on a job that was never accepted."""
