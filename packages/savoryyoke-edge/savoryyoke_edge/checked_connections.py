"""Check the statuses of answers that ``httpcore`` receives."""

import httpcore

from savoryyoke_edge import statuses


class InvalidStatusReceived(httpcore.RemoteProtocolError):
    """Report an answer whose status is invalid.

    It is an error of the HTTP library, so that its callers treat it like any
    other malformed answer.
    """


class _CheckedStream(httpcore.AsyncNetworkStream):
    """Check the status of each answer on a connection.

    Requests are not pipelined, so an answer begins after each request.
    """

    def __init__(self, stream):
        self._stream = stream
        self._check = statuses.StatusCheck()

    async def read(self, max_bytes, timeout=None):
        data = await self._stream.read(max_bytes, timeout)
        if not self._check.is_passed:
            try:
                self._check.feed(data)
            except statuses.InvalidStatus as error:
                raise InvalidStatusReceived(str(error)) from error
        return data

    async def write(self, buffer, timeout=None):
        self._check = statuses.StatusCheck()
        await self._stream.write(buffer, timeout)

    async def aclose(self):
        await self._stream.aclose()

    async def start_tls(self, ssl_context, server_hostname=None, timeout=None):
        return _CheckedStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info):
        return self._stream.get_extra_info(info)


class CheckingBackend(httpcore.AsyncNetworkBackend):
    """Open connections whose answers are checked.

    Reading an answer with an invalid status raises
    ``InvalidStatusReceived``. Pass it
    as the ``network_backend`` of a connection pool. ``backend`` opens the
    connections.
    """

    def __init__(self, *, backend=None):
        self._backend = backend or httpcore.AnyIOBackend()

    async def connect_tcp(self, *args, **options):
        """Open a TCP connection."""
        return _CheckedStream(
            await self._backend.connect_tcp(*args, **options)
        )

    async def connect_unix_socket(self, *args, **options):
        """Open a connection to a Unix socket."""
        return _CheckedStream(
            await self._backend.connect_unix_socket(*args, **options)
        )

    async def sleep(self, seconds):
        """Sleep between attempts to connect."""
        await self._backend.sleep(seconds)
