"""Decide which connections are closed when descriptors are short."""


class ConnectionTable:
    """Own the open connections of callers, up to ``limit``.

    Connections without a complete head can be closed, those that have waited
    for the longest time first.
    """

    def __init__(self, *, limit):
        self._limit = limit
        self._count = 0
        # The keys are in the order in which they began to wait.
        self._waiting = {}

    @property
    def count(self):
        """Return the number of open connections."""
        return self._count

    @property
    def is_over_limit(self):
        """Return whether a connection must be closed."""
        return self._count > self._limit

    def open(self, connection):
        """Add a connection that waits for its first head."""
        self._count += 1
        self._waiting[connection] = None

    def wait(self, connection):
        """Record that a connection waits for its next head."""
        self._waiting[connection] = None

    def begin_request(self, connection):
        """Record that the head of a request is complete."""
        self._waiting.pop(connection, None)

    def close(self, connection):
        """Remove a connection."""
        self._count -= 1
        self._waiting.pop(connection, None)

    def find_oldest_waiting(self, *, besides):
        """Return the connection that has waited the longest, or None.

        The connection ``besides`` is left out.
        """
        for connection in self._waiting:
            if connection is not besides:
                return connection
        return None
