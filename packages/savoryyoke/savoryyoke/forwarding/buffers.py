"""Limit the memory of the answers that a process buffers."""

from savoryyoke.forwarding import exceptions


class BufferAccount:
    """Own the sizes of all buffers of answers in a process.

    While they hold more than ``limit_bytes`` together, a buffer that holds
    more than an equal share of the limit can't grow. Thus answers without an
    end are given up, and those of a usual size complete beside them.
    """

    def __init__(self, *, limit_bytes):
        self._limit_bytes = limit_bytes
        self._sizes_by_buffer = {}
        self._total_bytes = 0

    @property
    def total_bytes(self):
        """Return how much all buffers hold."""
        return self._total_bytes

    def open(self):
        """Return a new ``Buffer``, which must be released."""
        buffer = Buffer(account=self)
        self._sizes_by_buffer[buffer] = 0
        return buffer

    def resize(self, buffer, size_bytes):
        """Record the size of a buffer; raise ``BuffersFull`` if too large."""
        self._total_bytes += size_bytes - self._sizes_by_buffer[buffer]
        self._sizes_by_buffer[buffer] = size_bytes
        share_bytes = self._limit_bytes / len(self._sizes_by_buffer)
        if self._total_bytes > self._limit_bytes and size_bytes > share_bytes:
            raise exceptions.BuffersFull(
                size_bytes=size_bytes, total_bytes=self._total_bytes
            )

    def release(self, buffer):
        """Forget a buffer."""
        self._total_bytes -= self._sizes_by_buffer.pop(buffer, 0)


class Buffer:
    """Report the size of one answer that is buffered."""

    def __init__(self, *, account):
        self._account = account

    def resize(self, size_bytes):
        """Record the size in bytes; raise ``BuffersFull`` if too large."""
        self._account.resize(self, size_bytes)

    def release(self):
        """Report that the answer is no longer held."""
        self._account.release(self)
