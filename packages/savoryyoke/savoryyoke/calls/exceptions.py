"""Define the errors of non-idempotent calls."""


class CallError(Exception):
    """Serve as the base class of the errors of this package."""


class InvalidKey(CallError):
    """Report a text that is not a well-formed bound key."""

    def __init__(self, *, reason):
        super().__init__(reason)
        self.reason = reason


class UnknownEvent(CallError):
    """Report an event that a state machine does not handle."""

    def __init__(self, *, event):
        super().__init__(type(event).__name__)
        self.event = event


class UnexpectedEvent(CallError):
    """Report an event that the current phase of a call does not allow."""

    def __init__(self, *, event, phase):
        super().__init__(f'{type(event).__name__} in phase {phase}')
        self.event = event
        self.phase = phase
