"""Errors of placement."""


class PlacementError(Exception):
    """Serve as the base class of this package's errors."""


class UnknownEvent(PlacementError):
    """Report an event of a type that the dispatcher does not handle."""

    def __init__(self, *, event):
        super().__init__(f'unknown event {type(event).__name__}')
