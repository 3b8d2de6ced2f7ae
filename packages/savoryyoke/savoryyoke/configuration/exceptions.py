"""Errors of the configuration package."""


class ConfigurationError(Exception):
    """Serve as the base class of all errors of this package."""


class UnknownEvent(ConfigurationError):
    """Report an event that the aggregate does not know."""

    def __init__(self, *, event):
        """Name the type of ``event``."""
        super().__init__(f'unknown event {type(event).__name__}')
