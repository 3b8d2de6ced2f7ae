"""Errors of the gateway."""


class GatewayError(Exception):
    """Describe a fault of this package; the base of its errors."""


class TargetUnreachable(GatewayError):
    """Report that no connection to a target could be opened.

    ``is_refused`` tells that its VM answered that nothing listens there.
    """

    def __init__(self, reason, *, is_refused):
        super().__init__(reason)
        self.is_refused = is_refused


class ExchangeBroken(GatewayError):
    """Report an exchange with a target that ended without a whole answer.

    ``reason`` is one of the words that logs and metrics count by.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class MalformedRequest(GatewayError):
    """Report a caller's request that can't be understood."""


class SettingsUnusable(GatewayError):
    """Report settings that can't be put in force."""
