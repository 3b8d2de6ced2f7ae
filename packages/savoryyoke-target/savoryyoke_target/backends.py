"""Call the engine or application behind this target over HTTP."""

import json
import urllib.parse

import anyio
import httpcore

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
    """Own the connections to the back end."""

    def __init__(self, *, url, connect_timeout_s, answer_limit_bytes):
        self._url = url
        self._answer_limit_bytes = answer_limit_bytes
        self._timeouts = {'connect': connect_timeout_s}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_LIMIT
        )
        # An idle connection may close just when it is used again, and then
        # nobody knows whether the call ran: these calls get fresh ones.
        self._fresh_pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_LIMIT, max_keepalive_connections=0
        )

    async def refuses_connections(self):
        """Tell whether nothing listens at the back end's address.

        A back end that is slow to accept does not refuse.
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
        """Run ``call`` and return its whole ``Answer``-like triple.

        Raise ``NothingSent`` or ``AnswerLost``.
        """
        pool = self._pool if call.idempotent else self._fresh_pool
        try:
            with anyio.fail_after(timeout_s):
                async with self._open(pool, call) as response:
                    body = await self._read_body(response)
        except TimeoutError as error:
            raise exceptions.AnswerLost('timeout') from error
        except _ERRORS as error:
            raise _translate(error) from error
        return response.status, _copy_headers(response), body

    async def stream(self, call, *, on_head, on_events, timeout_s):
        """Run ``call`` and pass its events on as they come.

        ``on_head(status, headers)`` and ``on_events(data, count)`` are
        awaited in order. A plain answer counts as one event. Raise
        ``NothingSent`` or ``AnswerLost``.
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
        except _ERRORS as error:
            raise _translate(error) from error

    def _open(self, pool, call):
        headers = [
            (header.name, header.value)
            for header in call.headers
            if header.name.lower() not in _HOP_HEADERS
        ]
        body = _add_resume(call)
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
        async for part in response.aiter_stream():
            body += part
            if len(body) > self._answer_limit_bytes:
                raise exceptions.AnswerLost('the answer is too large')
        return bytes(body)

    async def _relay_events(self, response, on_events):
        splitter = events.EventSplitter()
        async for part in response.aiter_stream():
            data, count = splitter.feed(part)
            if count:
                await on_events(data, count)
        if not splitter.finished:
            raise exceptions.AnswerLost('the stream has no end')


_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


def _is_refusal(error):
    """Tell whether each address of the back end refused."""
    cause = error.__cause__ or error
    causes = getattr(cause, 'exceptions', (cause,))
    return all(isinstance(item, ConnectionRefusedError) for item in causes)


def _translate(error):
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


def _add_resume(call):
    """Return the body, with the place to resume from where there is one."""
    if not call.resume_index:
        return call.body
    body = json.loads(call.body)
    body['resume'] = {'index': call.resume_index, 'text': call.resume_text}
    return json.dumps(body).encode()
