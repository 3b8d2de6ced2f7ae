"""Call the back end of this target, an engine or application, over HTTP."""

import json
import urllib.parse

import anyio
import httpcore

from savoryyoke_edge import checked_connections
from savoryyoke_target import events
from savoryyoke_target import exceptions

STREAM_TYPE = 'text/event-stream'
CONNECTIONS_LIMIT = 1024
_PORTS_BY_SCHEME = {'http': 80, 'https': 443}
_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


class Backend:
    """Send calls to the back end over pooled HTTP connections."""

    def __init__(self, *, url, connect_timeout_s, answer_limit_bytes):
        self._url = url
        self._answer_limit_bytes = answer_limit_bytes
        self._timeouts = {'connect': connect_timeout_s}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_LIMIT,
            network_backend=checked_connections.CheckingBackend(),
        )
        # The back end may close an idle connection just as it is reused, and
        # then it is unclear whether the call ran. Calls that are not
        # idempotent therefore use new connections.
        self._fresh_pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_LIMIT,
            max_keepalive_connections=0,
            network_backend=checked_connections.CheckingBackend(),
        )

    async def refuses_connections(self):
        """Return whether the back end refuses TCP connections.

        A connection attempt that times out is not a refusal.
        """
        address = urllib.parse.urlsplit(self._url)
        port = address.port or _PORTS_BY_SCHEME[address.scheme]
        try:
            with anyio.fail_after(self._timeouts['connect']):
                stream = await anyio.connect_tcp(address.hostname, port)
        except TimeoutError:
            return False
        except OSError as error:
            return _is_refusal(error)
        await anyio.aclose_forcefully(stream)
        return False

    async def fetch(self, call, *, timeout_s):
        """Run ``call`` and return its status, headers and body.

        Headers are pairs of strings. Raise ``NothingSent`` if the call did
        not reach the back end, ``AnswerLost`` if the answer did not arrive
        completely within ``timeout_s`` or exceeds the size limit.
        """
        pool = self._pool if call.idempotent else self._fresh_pool
        try:
            with anyio.fail_after(timeout_s):
                async with self._open(pool, call) as response:
                    body = await self._read_body(response)
        except TimeoutError as error:
            raise exceptions.AnswerLost('timeout') from error
        except _HTTP_ERRORS as error:
            raise _convert_error(error) from error
        return response.status, _copy_headers(response), body

    async def stream(self, call, *, on_head, on_events, timeout_s):
        """Run ``call`` and forward its events as they arrive.

        ``on_head(status, headers)`` is awaited once, then
        ``on_events(data, count)`` for each group of complete events. An
        answer that is not an event stream counts as one event. Raise
        ``NothingSent`` if the call did not reach the back end,
        ``AnswerLost`` if the answer did not arrive completely within
        ``timeout_s`` or exceeds a size limit.
        """
        try:
            with anyio.fail_after(timeout_s):
                async with self._open(self._pool, call) as response:
                    headers = _copy_headers(response)
                    await on_head(response.status, headers)
                    if _is_stream(response):
                        await self._relay_events(response, on_events)
                    else:
                        await on_events(await self._read_body(response), 1)
        except TimeoutError as error:
            raise exceptions.AnswerLost('timeout') from error
        except _HTTP_ERRORS as error:
            raise _convert_error(error) from error

    def _open(self, pool, call):
        headers = [
            (header.name, header.value)
            for header in call.headers
            if header.name.lower() not in _HOP_HEADERS
        ]
        body = _build_body(call)
        headers.append(('host', self._url.partition('://')[2]))
        headers.append(('content-length', str(len(body))))
        return pool.stream(
            call.method,
            self._url + call.path,
            headers=headers,
            content=body,
            extensions={'timeout': self._timeouts},
        )

    async def _read_body(self, response):
        body = bytearray()
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > self._answer_limit_bytes:
                raise exceptions.AnswerLost('the answer is too large')
        return bytes(body)

    async def _relay_events(self, response, on_events):
        splitter = events.EventSplitter()
        async for chunk in response.aiter_stream():
            data, count = splitter.feed(chunk)
            if count:
                await on_events(data, count)
        if not splitter.finished:
            raise exceptions.AnswerLost('the stream has no end')


_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


def _is_refusal(error):
    """Return whether every address of the back end refused."""
    cause = error.__cause__ or error
    causes = getattr(cause, 'exceptions', (cause,))
    return all(
        isinstance(address_error, ConnectionRefusedError)
        for address_error in causes
    )


def _convert_error(error):
    if isinstance(error, httpcore.ConnectError | httpcore.ConnectTimeout):
        return exceptions.NothingSent(str(error))
    return exceptions.AnswerLost(str(error) or type(error).__name__)


def _is_stream(response):
    for name, value in response.headers:
        if name.lower() == b'content-type':
            return value.decode('latin-1').startswith(STREAM_TYPE)
    return False


def _copy_headers(response):
    return tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in response.headers
        if name.decode('latin-1').lower() not in _HOP_HEADERS
    )


def _build_body(call):
    """Return the body, with the position to resume from if there is one."""
    if not call.resume_index:
        return call.body
    body = json.loads(call.body)
    body['resume'] = {'index': call.resume_index, 'text': call.resume_text}
    return json.dumps(body).encode()
