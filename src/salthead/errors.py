"""Why a request of a user is not answered as it was asked."""


class Later(Exception):
    """Can't be decided now; the client is told when to come back."""


class Rejected(Exception):
    """422: the job can never run."""
