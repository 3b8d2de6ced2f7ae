"""Define the errors of the entry daemon."""


class EntryError(Exception):
    """Serve as the base of the entry daemon's errors."""


class RequestRefused(EntryError):
    """Report a request that is refused before it is sent to a target.

    ``problem`` is the ``problems.Problem`` for the caller.
    """

    def __init__(self, *, problem):
        super().__init__(problem.name)
        self.problem = problem


class CallerGone(EntryError):
    """Report that the caller closed its connection."""


class LinkDown(EntryError):
    """Report that there is no connection to a target."""
