"""Errors of the edges that the daemons share."""


class EdgeError(Exception):
    """Describe a fault at an edge; the base of this layer's errors."""


class ConnectionLost(EdgeError):
    """Report a connection that ended or was never made."""


class PlatformUnavailable(EdgeError):
    """Report that the platform's service gave no usable answer."""
