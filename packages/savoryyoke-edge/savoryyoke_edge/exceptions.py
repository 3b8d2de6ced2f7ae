"""Errors of the network and platform code that the daemons share."""


class EdgeError(Exception):
    """Serve as the base class of this package's errors."""


class ConnectionLost(EdgeError):
    """Report that a connection ended or could not be opened."""


class BodyTooLarge(EdgeError):
    """Report an answer whose body exceeds the limit."""


class PlatformUnavailable(EdgeError):
    """Report that the platform's service returned no usable answer."""
