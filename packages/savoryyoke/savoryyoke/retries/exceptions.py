"""Define the errors of the retries package."""


class RetriesError(Exception):
    """Serve as the base class of all errors of this package."""


class UnknownEvent(RetriesError):
    """Report an event type that the aggregate does not handle."""


class DuplicateCall(RetriesError):
    """Report a first try whose call id belongs to an open call."""


class InvalidPolicy(RetriesError):
    """Report a policy with a value outside its valid range."""
