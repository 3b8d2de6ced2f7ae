"""Call an HTTP server repeatedly at little processor time.

A call on an open connection takes one write, one read and one timer. The
connection pool of ``httpcore`` takes eight passes of the event loop for it,
and 1 MB of memory to import.
"""

import asyncio
import dataclasses
import select

import anyio
import httptools

from savoryyoke_edge import exceptions
from savoryyoke_edge import statuses

# Answers of engines take some KB.
_RECEIVE_BYTES = 16 * 1024
# Limits a head, and what follows a part of a body: chunk sizes and trailers.
# h11 has the same limit.
_FRAMING_LIMIT_BYTES = 100 * 1024
_STATUSES_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold a complete answer."""

    status: int
    body: bytes


def make_buffer():
    """Return a buffer for received bytes."""
    return bytearray(_RECEIVE_BYTES)


class Caller:
    """Call one server, with at most ``max_connections`` calls at a time.

    Connections stay open between calls. A call is sent once and never
    repeated. If it fails, its connection and the idle ones are closed; other
    calls continue. ``buffer`` is from ``make_buffer``; all callers of a thread
    may share one.
    """

    def __init__(self, *, host, port, max_connections, limit_bytes, buffer):
        self._host = host
        self._port = port
        self._limit_bytes = limit_bytes
        self._slots = anyio.Semaphore(max_connections, fast_acquire=True)
        self._idle_connections = []
        self._buffer = buffer

    async def call(self, method, path, *, timeout_s, body=b''):
        """Return the ``Answer`` to a request with a JSON body or none.

        ``timeout_s`` limits the whole call, including the wait for other
        calls to end. Raise ``TimeoutError``, ``BodyTooLarge`` or a
        ``CallError``.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        try:
            self._slots.acquire_nowait()
        except anyio.WouldBlock:
            with anyio.fail_after(timeout_s):
                await self._slots.acquire()
        try:
            connection = self._pop_idle_connection()
            if connection is None:
                with anyio.fail_after(deadline_s - loop.time()):
                    connection = await self._connect(loop)
            answer = await connection.exchange(
                self._build_request(method, path, body), deadline_s=deadline_s
            )
        except BaseException:
            self._close_idle_connections()
            raise
        finally:
            self._slots.release()
        if connection.is_open:
            self._idle_connections.append(connection)
        return answer

    def _pop_idle_connection(self):
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    def _close_idle_connections(self):
        while self._idle_connections:
            self._idle_connections.pop().close()

    async def _connect(self, loop):
        try:
            _, connection = await loop.create_connection(
                lambda: _Connection(
                    buffer=self._buffer, limit_bytes=self._limit_bytes
                ),
                self._host,
                self._port,
            )
        except OSError as error:
            raise exceptions.ConnectError(str(error)) from error
        return connection

    def _build_request(self, method, path, body):
        length_line = f'Content-Length: {len(body)}\r\n' if body else ''
        head = (
            f'{method} {path} HTTP/1.1\r\n'
            f'Host: {self._host}:{self._port}\r\n'
            'Content-Type: application/json\r\n'
            f'{length_line}\r\n'
        )
        return head.encode() + body


class _Connection(asyncio.BufferedProtocol):
    """Exchange one request and its answer at a time.

    The content of ``buffer`` is used at once, so connections can share it.
    """

    def __init__(self, *, buffer, limit_bytes):
        self._buffer = memoryview(buffer)
        self._parser = AnswerParser(limit_bytes=limit_bytes)
        self._transport = None
        self._ended = None
        self._poll = select.poll()
        self._is_open = False

    @property
    def is_open(self):
        """Return whether the connection is not known to be closed."""
        return self._is_open

    def is_reusable(self):
        """Return whether another request can be sent.

        It can't if the server has closed the connection or sent anything
        since its last answer, also if the event loop has not seen it yet.
        """
        return self._is_open and not self._poll.poll(0)

    async def exchange(self, request, *, deadline_s):
        """Send a request and return the ``Answer``.

        Close the connection unless the answer is complete.
        """
        loop = asyncio.get_running_loop()
        self._ended = loop.create_future()
        self._parser.reset()
        timer = loop.call_at(deadline_s, self._fail, TimeoutError())
        try:
            self._transport.write(request)
            return await self._ended
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()
            self._ended = None

    def close(self):
        """Close the connection without waiting."""
        self._is_open = False
        self._transport.abort()

    def connection_made(self, transport):
        """Start to use a new connection."""
        self._transport = transport
        number = transport.get_extra_info('socket').fileno()
        self._poll.register(number, select.POLLIN)
        self._is_open = True

    def get_buffer(self, sizehint):
        """Return the buffer for the next bytes."""
        return self._buffer

    def buffer_updated(self, nbytes):
        """Process received bytes."""
        if self._is_waiting():
            self._process(self._parser.feed, self._buffer[:nbytes])
        else:
            # Bytes that answer no request would precede the next answer.
            self.close()

    def eof_received(self):
        """Process the end of what the server sends."""
        self._is_open = False
        if self._is_waiting():
            self._process(self._parser.end)

    def connection_lost(self, error):
        """Fail the call in progress, if any."""
        self._is_open = False
        self._fail(exceptions.ReadError(str(error)))

    def _is_waiting(self):
        return self._ended is not None and not self._ended.done()

    def _process(self, parse, *arguments):
        """Parse received bytes and end the call if that decides it."""
        try:
            answer = parse(*arguments)
        except (
            exceptions.RemoteProtocolError,
            exceptions.BodyTooLarge,
        ) as error:
            self._fail(error)
            return
        if answer is not None:
            if not self._parser.is_reusable:
                self.close()
            self._ended.set_result(answer)

    def _fail(self, error):
        if self._is_waiting():
            self._ended.set_exception(error)


class AnswerParser:
    """Parse the answers on one connection, one after the other.

    After an error the parser can't be used again.
    """

    def __init__(self, *, limit_bytes):
        self._limit_bytes = limit_bytes
        self._parser = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self):
        """Expect the next answer."""
        self.is_reusable = True
        self._answer = None
        self._error = None
        self._framing_bytes = 0
        self._body = bytearray()
        self._status_check = statuses.StatusCheck()
        self._reset_head()

    def _reset_head(self):
        self._status = None
        self._has_framed_body = False

    def feed(self, data):
        """Parse bytes; return the ``Answer`` if it is complete, else None.

        Raise ``RemoteProtocolError`` or ``BodyTooLarge``.
        """
        self._framing_bytes += len(data)
        if not self._status_check.is_passed:
            self._check_status(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.is_reusable = False
            if self._answer is None:
                raise exceptions.RemoteProtocolError(str(error)) from error
        if self._answer is None:
            if self._error is not None:
                raise self._error
            if self._framing_bytes > _FRAMING_LIMIT_BYTES:
                raise exceptions.RemoteProtocolError(
                    f'more than {_FRAMING_LIMIT_BYTES} bytes without a body'
                )
        return self._answer

    def _check_status(self, data):
        try:
            self._status_check.feed(bytes(data))
        except statuses.InvalidStatus:
            self.is_reusable = False
            raise

    def end(self):
        """Return the ``Answer`` that the end of the connection completes.

        Raise ``RemoteProtocolError`` if it is incomplete.
        """
        self.is_reusable = False
        if self._status is None:
            raise exceptions.RemoteProtocolError('no answer before the end')
        if self._has_framed_body:
            raise exceptions.RemoteProtocolError('the answer is incomplete')
        self._complete()
        return self._answer

    def _complete(self):
        self._answer = Answer(status=self._status, body=bytes(self._body))
        self._body = bytearray()

    def _refuse(self, reason):
        self._error = self._error or exceptions.RemoteProtocolError(reason)

    def on_message_begin(self):
        """Process the begin of an answer."""
        if self._answer is not None:
            # More than one answer to a request.
            self.is_reusable = False

    def on_header(self, name, value):
        """Process a header or a trailer."""
        match name.lower():
            case b'content-length':
                self._has_framed_body = True
            case b'transfer-encoding':
                self._has_framed_body = True
                if value.strip().lower() != b'chunked':
                    self._refuse('unknown transfer encoding')

    def on_headers_complete(self):
        """Process the end of a head."""
        if self._answer is not None:
            return
        self._status = self._parser.get_status_code()
        if self._status in _STATUSES_WITHOUT_BODY:
            # The parser expects the bytes that Content-Length announces.
            self.is_reusable = False
            self._complete()

    def on_body(self, part):
        """Process a part of a body."""
        if self._answer is not None or self._error is not None:
            return
        if self._status < 200:
            self._refuse('an informational answer has a body')
            return
        self._framing_bytes = 0
        self._body += part
        if len(self._body) > self._limit_bytes:
            self._error = exceptions.BodyTooLarge(
                f'the answer exceeds {self._limit_bytes} bytes'
            )

    def on_message_complete(self):
        """Process the end of an answer."""
        if self._answer is not None or self._error is not None:
            return
        if self._status < 200:
            self._reset_head()
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._complete()
