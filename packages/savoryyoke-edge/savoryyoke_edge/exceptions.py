"""Errors of the network and platform code that the daemons share."""


class EdgeError(Exception):
    """Serve as the base class of this package's errors."""


class ConnectionLost(EdgeError):
    """Report that a connection ended or could not be opened."""


class BodyTooLarge(EdgeError):
    """Report an answer whose body exceeds the limit."""


class CallError(EdgeError):
    """Serve as the base class of errors of ``persistent_calls``.

    The subclasses are named like those of ``httpcore``, as log lines contain
    the names.
    """


class ConnectError(CallError):
    """Report that no connection could be opened."""


class ReadError(CallError):
    """Report that a connection failed before the answer was complete."""


class RemoteProtocolError(CallError):
    """Report a malformed or incomplete answer."""


class PlatformUnavailable(EdgeError):
    """Report that the platform's service returned no usable answer."""


class SettingsUnusable(EdgeError):
    """Report settings that can't be applied."""
