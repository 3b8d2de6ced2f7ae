"""Define the errors of the membership package."""


class MembershipError(Exception):
    """Serve as the base of every error that this package raises."""


class UnknownEvent(MembershipError):
    """Report an event that the aggregate has no rule for."""

    def __init__(self, *, event):
        super().__init__(f'no rule for {type(event).__name__}')
        self.event = event


class SummaryTooLarge(MembershipError):
    """Report versions or attachments that exceed a message's bound."""

    def __init__(self, *, size, limit):
        super().__init__(f'summary of {size} exceeds its limit of {limit}')
        self.size = size
        self.limit = limit
