"""Errors of the protocol layer."""


class WireError(Exception):
    """Describe a fault of the protocol; the base of this layer's errors."""


class MalformedMessage(WireError):
    """Report bytes that are not a message of this protocol."""


class LimitExceeded(WireError):
    """Report a message that is larger than its limit."""


class VersionMismatch(WireError):
    """Report a peer with no protocol version in common."""
