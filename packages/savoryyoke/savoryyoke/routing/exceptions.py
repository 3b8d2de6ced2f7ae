"""Define the errors of the routing package."""


class RoutingError(Exception):
    """Serve as the base of all errors of this package."""


class UnknownEvent(RoutingError):
    """Report an event of a type that the router does not handle."""

    def __init__(self, *, event):
        super().__init__(f'unsupported event type {type(event).__name__}')
        self.event = event
