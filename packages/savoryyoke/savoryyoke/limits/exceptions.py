"""Define the errors of the limits package."""


class LimitsError(Exception):
    """Serve as the base class of all errors of this package."""


class UnknownEvent(LimitsError):
    """Report an event type that the aggregate does not handle."""


class InvalidTeamLimit(LimitsError):
    """Report a limit that is zero or negative."""
