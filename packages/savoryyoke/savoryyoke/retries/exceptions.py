"""Define the errors of the retries package."""


class RetriesError(Exception):
    """Serve as the base class of all errors of this package."""


class UnknownEvent(RetriesError):
    """Report an event type that the aggregate does not handle."""


class DuplicateCall(RetriesError):
    """Report a first try under the id of a call that is still open."""


class InvalidPolicy(RetriesError):
    """Report a policy that bounds nothing or allows nothing."""
