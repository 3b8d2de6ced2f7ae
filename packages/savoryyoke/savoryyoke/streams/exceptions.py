"""Errors of the reassembly of answers."""


class StreamError(Exception):
    """Serve as the base class of this package's errors."""


class UnknownEvent(StreamError):
    """Report an event of a type that the assembly does not handle."""

    def __init__(self, *, event):
        super().__init__(f'unknown event {type(event).__name__}')
