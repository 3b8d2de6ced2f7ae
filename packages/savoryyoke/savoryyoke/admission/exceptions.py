"""Define the errors of the admission package."""


class AdmissionError(Exception):
    """Serve as the base class of all errors of this package."""


class UnknownEvent(AdmissionError):
    """Report an event type that the aggregate does not handle."""


class DuplicateCall(AdmissionError):
    """Report an arrival whose call id is already waiting or running."""


class InvalidCall(AdmissionError):
    """Report an arrival whose cost or weight is not positive."""


class InvalidLimits(AdmissionError):
    """Report limits outside their valid range."""
