"""Carry out one HTTP exchange with a target."""

import anyio
import httpcore

from savoryyoke_edge import checked_connections
from savoryyoke_gateway import conf
from savoryyoke_gateway import exceptions

_BACKEND = checked_connections.CheckingBackend()
_METHODS_WITH_BODY = (b'POST', b'PUT', b'PATCH')


class _BoundedStream(httpcore.AsyncNetworkStream):
    """Limit the bytes read from a connection before the answer's head ends.

    The HTTP library sets no limit on the informational answers before it.
    """

    def __init__(self, stream):
        self._stream = stream
        self._remaining_bytes = conf.HEAD_LIMIT_BYTES

    def lift_limit(self):
        """Allow any number of further bytes."""
        self._remaining_bytes = None

    async def read(self, max_bytes, timeout=None):
        data = await self._stream.read(max_bytes, timeout)
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:
                raise exceptions.ExchangeBroken('malformed')
        return data

    async def write(self, buffer, timeout=None):
        await self._stream.write(buffer, timeout)

    async def aclose(self):
        await self._stream.aclose()

    def get_extra_info(self, info):
        return self._stream.get_extra_info(info)


class Exchange:
    """Own one connection to a target and the request on it.

    Connections are not reused. Thus a late or additional answer to an
    earlier request can't be mistaken for the answer to this one, and no
    request is lost on an idle connection that the target is closing.
    """

    def __init__(self, *, target):
        self._target = target
        self._stream = None
        self._response = None

    async def connect(self, *, timeout_s=conf.CONNECT_TIMEOUT_S):
        """Open the connection.

        Raise ``TargetUnreachable`` if that fails or takes longer than
        ``timeout_s``.
        """
        try:
            self._stream = _BoundedStream(
                await _BACKEND.connect_tcp(
                    self._target.host, self._target.port, timeout=timeout_s
                )
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise exceptions.TargetUnreachable(
                type(error).__name__, is_refused=_is_refusal(error)
            ) from error

    async def send(self, *, method, target, headers, body, silence_s):
        """Send a request and return the status and headers of its answer.

        Raise ``ExchangeBroken`` if the exchange fails or if the head of the
        answer is not complete within ``silence_s`` seconds. Informational
        answers are skipped. An invalid status breaks the exchange at once,
        so no header of such an answer is used.
        """
        url = httpcore.URL(
            scheme=b'http',
            host=self._target.host.encode(),
            port=self._target.port,
            target=target,
        )
        request = httpcore.Request(
            method=method,
            url=url,
            headers=[*headers, *_describe_body(method, body)],
            content=body,
            extensions={'timeout': {'read': silence_s, 'write': silence_s}},
        )
        connection = httpcore.AsyncHTTP11Connection(
            origin=url.origin, stream=self._stream
        )
        with anyio.move_on_after(silence_s) as scope:
            try:
                self._response = await connection.handle_async_request(request)
            except exceptions.ExchangeBroken:
                raise
            except Exception as error:
                raise _convert_error(error) from error
        if scope.cancelled_caught:
            raise exceptions.ExchangeBroken('silent')
        self._stream.lift_limit()
        return self._response.status, self._response.headers

    async def read(self):
        """Yield the parts of the answer's body as bytes.

        Raise ``ExchangeBroken`` if the body ends early or if there is no
        data for the ``silence_s`` seconds given to ``send``.
        """
        try:
            async for part in self._response.stream:
                yield part
        except (httpcore.ReadError, httpcore.ProtocolError) as error:
            raise _convert_error(error) from error
        except httpcore.TimeoutException as error:
            raise _convert_error(error) from error

    async def aclose(self):
        """Close the connection; the target then cancels the request."""
        if self._stream is None:
            return
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()


def _is_refusal(error):
    """Return whether an error was caused by a refused connection."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False


def _describe_body(method, body):
    """Return the Content-Length header if the request may have a body."""
    if not body and method not in _METHODS_WITH_BODY:
        return ()
    return ((b'Content-Length', str(len(body)).encode()),)


def _convert_error(error):
    match error:
        case httpcore.TimeoutException():
            return exceptions.ExchangeBroken('silent')
        case checked_connections.InvalidStatusReceived():
            return exceptions.ExchangeBroken('invalid-status')
        case httpcore.ProtocolError():
            return exceptions.ExchangeBroken('malformed')
        case httpcore.NetworkError():
            return exceptions.ExchangeBroken('reset')
    return error
