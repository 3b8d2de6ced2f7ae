"""Define the errors of the propagation package."""


class PropagationError(Exception):
    """Serve as the base of every error that this package raises."""


class UnknownEvent(PropagationError):
    """Report an event that the aggregate has no rule for."""

    def __init__(self, *, event):
        super().__init__(f'no rule for {type(event).__name__}')
        self.event = event
