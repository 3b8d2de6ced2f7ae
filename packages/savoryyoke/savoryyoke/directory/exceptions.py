"""Define the errors of the directory package."""


class DirectoryError(Exception):
    """Serve as the base of all errors of this package."""


class UnknownEvent(DirectoryError):
    """Report an event of a type that the directory does not handle."""

    def __init__(self, *, event):
        super().__init__(f'unsupported event type {type(event).__name__}')
        self.event = event
