"""The base of all errors, and those that answer a user's request."""


class SaltheadError(Exception):
    """Base of the errors that salthead raises itself."""


class UnavailableError(SaltheadError):
    """503: the request can't be decided now; the client is told when to retry."""


class InvalidJobError(SaltheadError):
    """422: the job can never run."""
