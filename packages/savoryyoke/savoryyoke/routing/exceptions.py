"""Define the errors of the routing package."""


class RoutingError(Exception):
    """Serve as the base of all errors of this package."""


class UnknownEvent(RoutingError):
    """Report an event that the router has no rule for."""

    def __init__(self, *, event):
        super().__init__(f'no rule for {type(event).__name__}')
        self.event = event
