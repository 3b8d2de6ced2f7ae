"""Errors of forwarding."""


class ForwardingError(Exception):
    """Serve as the base class of this package's errors."""


class UnknownEvent(ForwardingError):
    """Report an event of a type that the ledger does not handle."""

    def __init__(self, *, event):
        super().__init__(f'unknown event {type(event).__name__}')


class BuffersFull(ForwardingError):
    """Report that a buffer can't grow, as all of them hold too much."""

    def __init__(self, *, size_bytes, total_bytes):
        super().__init__(
            f'{size_bytes} bytes in one of the buffers of {total_bytes} bytes'
        )


class MalformedStream(ForwardingError):
    """Report bytes that are not a stream of server-sent events."""
