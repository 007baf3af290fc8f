"""The base of all errors, and those that decide how a user's request is answered."""


class SaltheadError(Exception):
    """Base of the errors that salthead raises itself."""


class UnavailableError(SaltheadError):
    """The request can't be decided now, and may be in a moment: the client should retry."""


class InvalidJobError(SaltheadError):
    """The job can never run, or depends on one that was never accepted."""
