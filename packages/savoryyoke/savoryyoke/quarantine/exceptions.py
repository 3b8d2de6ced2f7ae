"""Define the errors of the quarantine package."""


class QuarantineError(Exception):
    """Serve as the base class of all errors of this package."""


class UnknownEvent(QuarantineError):
    """Report an event type that the aggregate does not handle."""


class InvalidPolicy(QuarantineError):
    """Report a policy that would quarantine after a single crash."""
