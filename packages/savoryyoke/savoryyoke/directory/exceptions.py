"""Define the errors of the directory package."""


class DirectoryError(Exception):
    """Serve as the base of all errors of this package."""


class UnknownEvent(DirectoryError):
    """Report an event that the directory has no rule for."""

    def __init__(self, *, event):
        super().__init__(f'no rule for {type(event).__name__}')
        self.event = event
