"""Define the errors of the membership package."""


class MembershipError(Exception):
    """Serve as the base class of the errors that this package raises."""


class UnknownEvent(MembershipError):
    """Report an unsupported event or message type."""

    def __init__(self, *, event):
        super().__init__(f'unsupported event type {type(event).__name__}')
        self.event = event


class SummaryTooLarge(MembershipError):
    """Report too many versions or too large attachments.

    ``size`` and ``limit`` count versions, or bytes of attachments.
    """

    def __init__(self, *, size, limit):
        super().__init__(f'summary of {size} exceeds its limit of {limit}')
        self.size = size
        self.limit = limit
