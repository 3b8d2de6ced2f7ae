"""Define the exceptions of the protocol layer."""


class WireError(Exception):
    """Serve as the base class of all errors of the protocol layer."""


class MalformedMessage(WireError):
    """Report bytes that are not a message of this protocol."""


class LimitExceeded(WireError):
    """Report a message that is larger than its limit."""


class VersionMismatch(WireError):
    """Report a peer with no protocol version in common."""
