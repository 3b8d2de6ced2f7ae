"""Errors of the gateway."""


class GatewayError(Exception):
    """Serve as the base class of this package's errors."""


class TargetUnreachable(GatewayError):
    """Report that no connection to a target could be opened.

    ``is_refused`` is true if its VM refused the connection because no
    process listens at the address.
    """

    def __init__(self, reason, *, is_refused):
        super().__init__(reason)
        self.is_refused = is_refused


class ExchangeBroken(GatewayError):
    """Report an exchange with a target that brought no usable answer.

    ``reason`` is a short identifier for logs, such as ``reset``.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class MalformedRequest(GatewayError):
    """Report a caller's request that can't be parsed."""
