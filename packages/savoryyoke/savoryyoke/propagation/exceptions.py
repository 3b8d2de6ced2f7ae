"""Define the errors of the propagation package."""


class PropagationError(Exception):
    """Serve as the base class of the errors that this package raises."""


class UnknownEvent(PropagationError):
    """Report an unsupported event type."""

    def __init__(self, *, event):
        super().__init__(f'unsupported event type {type(event).__name__}')
        self.event = event
